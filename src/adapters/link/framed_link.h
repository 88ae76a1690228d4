/// @file
/// Length-prefixed protobuf messages (frames) on TCP connections between processes of the fleet.
///
/// gRPC is not used here, because it needs threads and memory in every process that a relay cannot
/// spare, and because it derives deadlines from the system clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/accept_failures.h"
#include "core/result.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::link {

/// One connection. Used only on the event loop of its socket; not safe for concurrent use.
///
/// Frames arrive complete and in order, or the link closes. TCP detects an unresponsive peer within
/// about two seconds.
class FramedLink : public std::enable_shared_from_this<FramedLink> {
public:
  using Socket = boost::asio::ip::tcp::socket;
  using FrameHandler = std::function<void(v1::Frame)>;
  using CloseHandler = std::function<void()>;

  explicit FramedLink(Socket socket);

  /// Starts to read. `on_close` runs at most once: when the peer closes the link or the link fails.
  void start(FrameHandler on_frame, CloseHandler on_close);

  /// Queues a frame. A full queue (16 MB) closes the link.
  /// @return false if the link is closed or its queue is full.
  bool send(const v1::Frame& frame);

  /// Closes the link. No handler runs afterwards.
  void close();

  bool isOpen() const { return open_; }

  /// Bytes received since the link was opened, including those of a frame that is still incomplete.
  uint64_t bytesReceived() const { return bytes_received_; }
  /// Bytes of the frames queued since the link was opened.
  uint64_t bytesQueued() const { return bytes_queued_; }

private:
  void read();
  /// Passes the complete frames of the input to the handler. @return false if the input is invalid.
  bool parseFrames();
  void write();
  void fail();

  Socket socket_;
  bool open_ = true;
  uint64_t bytes_received_ = 0;
  uint64_t bytes_queued_ = 0;
  std::string input_;
  std::string queued_;
  std::string writing_;
  FrameHandler on_frame_;
  CloseHandler on_close_;
};

/// Accepts links. Used only on one event loop.
class LinkListener {
public:
  using LinkHandler = std::function<void(std::shared_ptr<FramedLink>)>;

  explicit LinkListener(boost::asio::io_context& context) : acceptor_(context), pause_(context) {}

  /// Starts to accept links.
  /// @param address local address, "ip:port"
  Result<std::monostate> listen(const std::string& address, LinkHandler on_link);
  void close();

private:
  void accept();
  void retryAccept(boost::system::error_code failure);

  boost::asio::ip::tcp::acceptor acceptor_;
  AcceptFailures failures_{"link"};
  boost::asio::steady_timer pause_;
  LinkHandler on_link_;
};

/// Timeout for opening a link: several round trips between regions. A machine without power does
/// not respond at all, and TCP retransmits a lost SYN only after seconds, so a new attempt is
/// faster than waiting.
inline constexpr std::chrono::milliseconds kDialTimeout{150};

/// Opens one link at a time. Used only on one event loop. Destruction cancels an attempt in
/// progress.
class LinkDialer {
public:
  /// @param link null if the connection failed or timed out
  using DialHandler = std::function<void(std::shared_ptr<FramedLink> link)>;

  explicit LinkDialer(boost::asio::io_context& context) : context_(context) {}
  ~LinkDialer() { cancel(); }
  LinkDialer(const LinkDialer&) = delete;
  LinkDialer& operator=(const LinkDialer&) = delete;

  /// Starts an attempt and cancels the one in progress, whose handler does not run.
  void dial(const std::string& address, std::chrono::milliseconds timeout, DialHandler done);
  void cancel();

private:
  struct Attempt;

  boost::asio::io_context& context_;
  std::shared_ptr<Attempt> attempt_;
};

} // namespace workshatch::link

/// @file
/// Frames (protobuf messages behind their length) on TCP connections between own processes.
///
/// gRPC does not fit here: it costs every process threads and memory that a relay has no use for,
/// and takes deadlines from the system clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/result.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::link {

/// One connection. Lives on the event loop of its socket; not safe for concurrent use.
///
/// Frames arrive whole and in order, or the link closes. A peer that falls silent is noticed by
/// TCP within about two seconds.
class FramedLink : public std::enable_shared_from_this<FramedLink> {
public:
  using Socket = boost::asio::ip::tcp::socket;
  using FrameHandler = std::function<void(v1::Frame)>;
  using CloseHandler = std::function<void()>;

  explicit FramedLink(Socket socket);

  /// Begins to read. `on_close` runs once, when the other side ends the link or it fails.
  void start(FrameHandler on_frame, CloseHandler on_close);

  /// Queues a frame. @return false when the link is closed or its queue is full; a full queue
  /// closes it.
  bool send(const v1::Frame& frame);

  /// Ends the link; no handler runs afterwards.
  void close();

  bool isOpen() const { return open_; }

  /// Bytes that arrived since the link began; grows also while a large frame is arriving.
  uint64_t bytesReceived() const { return bytes_received_; }
  /// Bytes of the frames that were queued since the link began.
  uint64_t bytesQueued() const { return bytes_queued_; }

private:
  void read();
  /// @return false when the bytes are no frame.
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

/// Accepts links. Lives on one event loop.
class LinkListener {
public:
  using LinkHandler = std::function<void(std::shared_ptr<FramedLink>)>;

  explicit LinkListener(boost::asio::io_context& context) : acceptor_(context) {}

  /// @param address "ip:port"
  Result<std::monostate> listen(const std::string& address, LinkHandler on_link);
  void close();

private:
  void accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  LinkHandler on_link_;
};

/// How long a link may take to come up: several round trips between regions. A machine without
/// power does not answer at all, and a lost opening packet is sent again only after seconds:
/// another attempt is the quicker way.
inline constexpr std::chrono::milliseconds kDialTimeout{150};

/// Opens one link. Lives on one event loop; destroyed, it gives up.
class LinkDialer {
public:
  /// `link` is null when nothing answered in time.
  using DialHandler = std::function<void(std::shared_ptr<FramedLink> link)>;

  explicit LinkDialer(boost::asio::io_context& context) : context_(context) {}
  ~LinkDialer() { cancel(); }
  LinkDialer(const LinkDialer&) = delete;
  LinkDialer& operator=(const LinkDialer&) = delete;

  void dial(const std::string& address, std::chrono::milliseconds timeout, DialHandler done);
  void cancel();

private:
  struct Attempt;

  boost::asio::io_context& context_;
  std::shared_ptr<Attempt> attempt_;
};

} // namespace workshatch::link

/// @file
/// Outgoing links to many addresses, each opened when the first frame is sent to its address.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "adapters/link/framed_link.h"
#include "ports/clock.h"
#include "ports/replica_transport.h"

namespace workshatch::link {

/// Sends frames without receiving any. Frames may be lost, but are not reordered within a link.
/// Used only on one event loop.
class LinkPool : public ReplicaTransport {
public:
  /// @param own_address sender address in the messages between replicas
  LinkPool(boost::asio::io_context& context, const Clock& clock, std::string own_address)
      : context_(context), clock_(clock), own_address_(std::move(own_address)) {}

  void send(const std::string& address, v1::RaftMessage message) override;
  /// Sends a frame, or opens the link and sends the frame afterwards. While the link is opening
  /// only the newest frame is kept.
  void sendFrame(const std::string& address, const v1::Frame& frame);
  /// @return whether a link to the address is open.
  bool isOpen(const std::string& address) const;
  /// Closes all links and cancels all attempts to open one.
  void close();

private:
  struct Peer {
    explicit Peer(boost::asio::io_context& context) : dialer(context) {}

    LinkDialer dialer;
    std::shared_ptr<FramedLink> link;
    bool dialing = false;
    int64_t retry_at_ms = 0;
    /// The newest frame, sent when the link is open. Older ones are dropped.
    v1::Frame pending_frame;
    bool has_pending_frame = false;
  };

  void dial(const std::string& address, Peer& peer);

  boost::asio::io_context& context_;
  const Clock& clock_;
  const std::string own_address_;
  std::map<std::string, std::unique_ptr<Peer>> peers_;
};

} // namespace workshatch::link

/// @file
/// Outgoing links to many addresses, opened when something is to be sent.
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

/// Sends frames one way; they may be lost, never reordered within a link. Lives on one event loop.
class LinkPool : public ReplicaTransport {
public:
  /// @param own_address told to the receivers of replica messages
  LinkPool(boost::asio::io_context& context, const Clock& clock, std::string own_address)
      : context_(context), clock_(clock), own_address_(std::move(own_address)) {}

  void send(const std::string& address, v1::RaftMessage message) override;
  void sendFrame(const std::string& address, const v1::Frame& frame);
  void close();

private:
  struct Peer {
    explicit Peer(boost::asio::io_context& context) : dialer(context) {}

    LinkDialer dialer;
    std::shared_ptr<FramedLink> link;
    bool dialing = false;
    int64_t retry_at_ms = 0;
    /// The newest frame, sent once the link is up; older ones are lost.
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

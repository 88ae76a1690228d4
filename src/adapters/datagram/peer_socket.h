/// @file
/// UDP socket over which a router exchanges authenticated datagrams with the other routers.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "adapters/address_overrides.h"
#include "adapters/datagram/udp_socket.h"
#include "core/result.h"
#include "workshatch/v1/peer.pb.h"

namespace workshatch::datagram {

/// Counters of one socket. Safe for concurrent use.
struct PeerStats {
  std::atomic<uint64_t> sent{0};
  std::atomic<uint64_t> received{0};
  std::atomic<uint64_t> sent_bytes{0};
  std::atomic<uint64_t> received_bytes{0};
  /// Received datagrams with a wrong authentication code or an unparsable body, and outgoing ones
  /// above the size limit.
  std::atomic<uint64_t> dropped{0};
};

/// Sends and receives datagrams of peers. `send` is safe for concurrent use and never blocks. The
/// receiver runs on the event loop passed to the constructor.
class PeerSocket {
public:
  using Receiver = std::function<void(const v1::PeerDatagram&)>;

  PeerSocket(boost::asio::io_context& context, std::string key, AddressOverrides address_overrides,
             std::string name, uint64_t incarnation);

  /// @param address local address, "ip:port"
  /// @param receiver called for each valid datagram
  Result<std::monostate> open(const std::string& address, Receiver receiver);
  void close();

  /// Fills in sender, incarnation and sequence number and sends the datagram to a peer. A datagram
  /// that is too large is dropped.
  void send(const std::string& address, v1::PeerDatagram datagram);

  const PeerStats& stats() const { return stats_; }

private:
  void handleDatagram(std::string_view bytes);

  UdpSocket socket_;
  const std::string key_;
  const AddressOverrides address_overrides_;
  const std::string name_;
  const uint64_t incarnation_;
  Receiver receiver_;
  std::atomic<uint64_t> sequence_{0};
  PeerStats stats_;
};

} // namespace workshatch::datagram

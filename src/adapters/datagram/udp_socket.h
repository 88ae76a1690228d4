/// @file
/// Non-blocking UDP socket on one event loop.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "core/result.h"

namespace workshatch::datagram {

/// Sends datagrams, and receives datagrams of up to 2 KB. `send` never blocks: a datagram that the
/// operating system does not accept is dropped, as the network may drop any datagram. The receiver
/// runs on the event loop.
class UdpSocket {
public:
  using Endpoint = boost::asio::ip::udp::endpoint;
  using Receiver = std::function<void(std::string_view bytes, const Endpoint& from)>;

  explicit UdpSocket(boost::asio::io_context& context);

  /// Binds the socket and starts to receive.
  /// @param address local address, "ip:port"
  Result<std::monostate> open(const std::string& address, Receiver receiver);
  void close();

  /// @param address "ip:port"
  /// @return false if the address cannot be parsed.
  bool send(const std::string& address, std::string_view bytes);
  void send(const Endpoint& to, std::string_view bytes);

private:
  void receive();

  boost::asio::ip::udp::socket socket_;
  Receiver receiver_;
  Endpoint from_;
  std::string buffer_;
};

} // namespace workshatch::datagram

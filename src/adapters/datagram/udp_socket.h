/// @file
/// A UDP socket on one event loop.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "core/result.h"

namespace workshatch::datagram {

/// Sends and receives datagrams of up to 2 KB. `send` never blocks: a datagram that the system does
/// not take is lost, as any may be. The receiver runs on the event loop.
class UdpSocket {
public:
  using Endpoint = boost::asio::ip::udp::endpoint;
  using Receiver = std::function<void(std::string_view bytes, const Endpoint& from)>;

  explicit UdpSocket(boost::asio::io_context& context);

  /// @param address "ip:port"
  Result<std::monostate> open(const std::string& address, Receiver receiver);
  void close();

  /// @param address "ip:port" @return false when the address can't be read.
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

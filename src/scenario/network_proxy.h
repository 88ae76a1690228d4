/// @file
/// Relays between two processes that can be cut, silently and in each direction by itself.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "core/result.h"

namespace workshatch::scenario {

/// Directions that are cut. Safe for concurrent use.
struct LinkCuts {
  std::atomic<bool> forward{false};
  std::atomic<bool> backward{false};
};

/// Passes TCP connections on. What is sent during a cut waits, as in the network's buffers.
class TcpProxy {
public:
  TcpProxy(boost::asio::io_context& context, std::string target);

  Result<std::monostate> listen(const std::string& address);
  LinkCuts& cuts() { return *cuts_; }

private:
  boost::asio::awaitable<void> accept();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const std::string target_;
  std::shared_ptr<LinkCuts> cuts_ = std::make_shared<LinkCuts>();
};

/// Passes datagrams on, forward only: each router sends to the other's own address. What is sent
/// during a cut is lost.
class UdpProxy {
public:
  UdpProxy(boost::asio::io_context& context, std::string target);

  Result<std::monostate> listen(const std::string& address);
  LinkCuts& cuts() { return cuts_; }

private:
  void receive();

  boost::asio::ip::udp::socket socket_;
  const std::string target_;
  boost::asio::ip::udp::endpoint from_;
  std::string buffer_;
  LinkCuts cuts_;
};

} // namespace workshatch::scenario

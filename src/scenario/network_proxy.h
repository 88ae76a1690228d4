/// @file
/// TCP and UDP proxies between two processes that simulate network partitions: each direction can
/// be cut without closing connections.
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

/// Directions of a link that are cut. Safe for concurrent use.
struct LinkCuts {
  std::atomic<bool> forward{false};
  std::atomic<bool> backward{false};
};

/// Forwards TCP connections. Data sent during a cut is delivered after it, as TCP retransmission
/// does.
class TcpProxy {
public:
  TcpProxy(boost::asio::io_context& context, std::string target);

  /// Starts to accept connections.
  Result<std::monostate> listen(const std::string& address);
  LinkCuts& cuts() { return *cuts_; }

private:
  boost::asio::awaitable<void> accept();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const std::string target_;
  std::shared_ptr<LinkCuts> cuts_ = std::make_shared<LinkCuts>();
};

/// Forwards datagrams to the target. It needs no backward direction, because each router sends
/// through its own proxy. Datagrams sent during a cut are lost.
class UdpProxy {
public:
  UdpProxy(boost::asio::io_context& context, std::string target);

  /// Starts to receive datagrams.
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

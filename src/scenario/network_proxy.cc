#include "scenario/network_proxy.h"

#include <chrono>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "adapters/http/http_types.h"

namespace workshatch::scenario {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr size_t kBufferBytes = size_t{16} * 1024;
constexpr std::chrono::milliseconds kCutPollInterval{5};

/// Copies one direction of a connection. While the direction is cut, received data is held back.
asio::awaitable<void> copy(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to,
                           std::shared_ptr<LinkCuts> cuts, bool forward) {
  std::string buffer(kBufferBytes, '\0');
  asio::steady_timer timer(from->get_executor());
  const std::atomic<bool>& cut = forward ? cuts->forward : cuts->backward;
  while (true) {
    const auto [failure, size] = co_await from->async_read_some(asio::buffer(buffer), kAwait);
    while (cut) {
      timer.expires_after(kCutPollInterval);
      co_await timer.async_wait(kAwait);
    }
    if (failure) {
      break;
    }
    const auto [write_failure, written] =
        co_await asio::async_write(*to, asio::buffer(buffer.data(), size), kAwait);
    if (write_failure) {
      break;
    }
  }
  boost::system::error_code ignored;
  to->shutdown(tcp::socket::shutdown_send, ignored);
  from->shutdown(tcp::socket::shutdown_receive, ignored);
}

} // namespace

TcpProxy::TcpProxy(asio::io_context& context, std::string target)
    : context_(context), acceptor_(context), target_(std::move(target)) {}

Result<std::monostate> TcpProxy::listen(const std::string& address) {
  const auto endpoint = http::parseEndpoint(address);
  boost::system::error_code failure;
  if (endpoint) {
    acceptor_.open(endpoint->protocol(), failure);
    acceptor_.set_option(asio::socket_base::reuse_address(true), failure);
    acceptor_.bind(*endpoint, failure);
  }
  if (!failure) {
    acceptor_.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (!endpoint || failure) {
    return Error{"relay cannot listen on " + address + ": " + failure.message()};
  }
  asio::co_spawn(context_, accept(), asio::detached);
  return std::monostate{};
}

asio::awaitable<void> TcpProxy::accept() {
  const auto target = http::parseEndpoint(target_);
  while (acceptor_.is_open()) {
    auto inbound = std::make_shared<tcp::socket>(context_);
    const auto [failure] = co_await acceptor_.async_accept(*inbound, kAwait);
    if (failure) {
      co_return;
    }
    auto outbound = std::make_shared<tcp::socket>(context_);
    const auto [refused] = co_await outbound->async_connect(*target, kAwait);
    if (refused) {
      continue;
    }
    boost::system::error_code ignored;
    inbound->set_option(tcp::no_delay(true), ignored);
    outbound->set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(context_, copy(inbound, outbound, cuts_, true), asio::detached);
    asio::co_spawn(context_, copy(outbound, inbound, cuts_, false), asio::detached);
  }
}

UdpProxy::UdpProxy(asio::io_context& context, std::string target)
    : socket_(context), target_(std::move(target)), buffer_(kBufferBytes, '\0') {}

Result<std::monostate> UdpProxy::listen(const std::string& address) {
  const auto endpoint = http::parseEndpoint(address);
  boost::system::error_code failure;
  if (endpoint) {
    const udp::endpoint local(endpoint->address(), endpoint->port());
    socket_.open(local.protocol(), failure);
    socket_.bind(local, failure);
  }
  if (!endpoint || failure) {
    return Error{"relay cannot listen on " + address + ": " + failure.message()};
  }
  receive();
  return std::monostate{};
}

void UdpProxy::receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), from_, [this](boost::system::error_code failure, size_t size) {
        if (failure == asio::error::operation_aborted) {
          return;
        }
        const auto target = http::parseEndpoint(target_);
        if (!failure && !cuts_.forward && target) {
          boost::system::error_code ignored;
          socket_.send_to(asio::buffer(buffer_.data(), size),
                          udp::endpoint(target->address(), target->port()), 0, ignored);
        }
        receive();
      });
}

} // namespace workshatch::scenario

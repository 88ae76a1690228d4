#include "adapters/datagram/udp_socket.h"

#include <utility>

#include <boost/asio/buffer.hpp>

#include "adapters/bind_wait.h"
#include "adapters/http/http_types.h"

namespace workshatch::datagram {

namespace asio = boost::asio;

namespace {

constexpr size_t kReceiveBufferBytes = 2048;

UdpSocket::Endpoint udpEndpoint(const asio::ip::tcp::endpoint& endpoint) {
  return {endpoint.address(), endpoint.port()};
}

} // namespace

UdpSocket::UdpSocket(asio::io_context& context)
    : socket_(context), buffer_(kReceiveBufferBytes, '\0') {}

Result<std::monostate> UdpSocket::open(const std::string& address, Receiver receiver) {
  const auto endpoint = http::parseEndpoint(address);
  if (!endpoint) {
    return Error{"not an address \"ip:port\": " + address};
  }
  boost::system::error_code failure;
  const Endpoint local = udpEndpoint(*endpoint);
  socket_.open(local.protocol(), failure);
  if (!failure) {
    failure = bindWhenFree(address, [this, &local] {
      boost::system::error_code bind_failure;
      socket_.bind(local, bind_failure);
      return bind_failure;
    });
  }
  if (!failure) {
    socket_.non_blocking(true, failure);
  }
  if (failure) {
    return Error{"cannot open UDP " + address + ": " + failure.message()};
  }
  receiver_ = std::move(receiver);
  receive();
  return std::monostate{};
}

void UdpSocket::close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

bool UdpSocket::send(const std::string& address, std::string_view bytes) {
  const auto endpoint = http::parseEndpoint(address);
  if (!endpoint) {
    return false;
  }
  send(udpEndpoint(*endpoint), bytes);
  return true;
}

void UdpSocket::send(const Endpoint& to, std::string_view bytes) {
  boost::system::error_code ignored;
  socket_.send_to(asio::buffer(bytes.data(), bytes.size()), to, 0, ignored);
}

void UdpSocket::receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), from_, [this](boost::system::error_code failure, size_t size) {
        if (failure == asio::error::operation_aborted || !socket_.is_open()) {
          return;
        }
        if (!failure) {
          receiver_(std::string_view(buffer_.data(), size), from_);
        }
        receive();
      });
}

} // namespace workshatch::datagram

/// @file
/// Tests of what happens to requests and connections of an HTTP server that stops.
#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "adapters/http/http_server.h"

namespace workshatch::test {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr size_t kLargeBytes = size_t{12} * 1024 * 1024;
const std::string kGet = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string kHeld = "GET /held HTTP/1.1\r\nHost: a\r\n\r\n";

/// @return whether the condition became true within two seconds.
bool soon(const std::function<bool()>& condition) {
  const auto until = std::chrono::steady_clock::now() + milliseconds(2000);
  while (!condition() && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(milliseconds(2));
  }
  return condition();
}

/// Answers "/held" and ends the stream "/stream" only once `release` was called.
class HoldingServer {
public:
  HoldingServer()
      : server_(
            workers_, limits(), [this](http::Exchange& exchange) { return answer(exchange); },
            [](http::Status status, const std::string&) {
              return http::makeResponse(status, "text/plain", "");
            }) {
    address_ = std::get<std::string>(server_.listen("127.0.0.1:0"));
    workers_.start();
  }
  ~HoldingServer() { workers_.stop(); }
  HoldingServer(const HoldingServer&) = delete;
  HoldingServer& operator=(const HoldingServer&) = delete;

  http::Server& server() { return server_; }
  WorkerPool& workers() { return workers_; }
  void release() { released_ = true; }
  size_t answered() const { return answered_; }

  asio::ip::tcp::socket connect() {
    asio::ip::tcp::socket socket(context_);
    socket.connect(*http::parseEndpoint(address_));
    return socket;
  }

private:
  static http::ServerLimits limits() {
    http::ServerLimits limits;
    limits.idle_timeout = milliseconds(5000);
    return limits;
  }

  http::awaitable<void> answer(http::Exchange& exchange) {
    const std::string path(exchange.path());
    if (path == "/stream") {
      http::Response head = http::makeResponse(http::Status::ok, "text/plain", "");
      co_await exchange.startStream(std::move(head));
    }
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (path != "/" && path != "/large" && !released_) {
      timer.expires_after(milliseconds(2));
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (path == "/stream") {
      co_await exchange.finish();
    } else {
      std::string body(path == "/large" ? kLargeBytes : 2, 'k');
      http::Response response = http::makeResponse(http::Status::ok, "text/plain", std::move(body));
      co_await exchange.respond(std::move(response));
    }
    ++answered_;
  }

  std::atomic<bool> released_{false};
  std::atomic<size_t> answered_{0};
  asio::io_context context_;
  WorkerPool workers_{1};
  http::Server server_;
  std::string address_;
};

void send(asio::ip::tcp::socket& socket, const std::string& bytes) {
  boost::system::error_code failure;
  asio::write(socket, asio::buffer(bytes), failure);
}

/// Reads until the server closes the connection, or it fails.
std::string readAll(asio::ip::tcp::socket& socket) {
  std::string received;
  boost::system::error_code failure;
  asio::read(socket, asio::dynamic_buffer(received), failure);
  return received;
}

size_t countOf(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

TEST_CASE("a request whose body is still arriving counts as in progress") {
  HoldingServer holding;
  auto socket = holding.connect();
  send(socket, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na");
  CHECK(soon([&] { return holding.server().requestsInProgress() == 1; }));
  send(socket, "b");
  std::string received;
  asio::read_until(socket, asio::dynamic_buffer(received), "kk");
  CHECK(soon([&] { return holding.server().requestsInProgress() == 0; }));
}

TEST_CASE("a response that becomes ready after the stop began says that its connection closes") {
  HoldingServer holding;
  auto socket = holding.connect();
  send(socket, kHeld);
  REQUIRE(soon([&] { return holding.server().requestsInProgress() == 1; }));
  std::this_thread::sleep_for(milliseconds(20));
  holding.server().closeConnections();
  holding.release();
  CHECK(countOf(readAll(socket), "Connection: close") == 1);
}

TEST_CASE("a pipelined request that arrives before the last response of a stop is answered") {
  HoldingServer holding;
  auto socket = holding.connect();
  holding.server().closeConnections();
  send(socket, kHeld + kGet);
  REQUIRE(soon([&] { return holding.server().requestsInProgress() == 1; }));
  std::this_thread::sleep_for(milliseconds(20));
  holding.release();
  const std::string received = readAll(socket);
  CHECK(countOf(received, "200 OK") == 2);
  CHECK(countOf(received, "Connection: close") == 1);
}

TEST_CASE("a connection that becomes idle after the idle ones were closed is closed too") {
  HoldingServer holding;
  auto socket = holding.connect();
  send(socket, "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
  std::string head;
  asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n");
  holding.server().stopAccepting();
  holding.server().closeIdle();
  std::this_thread::sleep_for(milliseconds(20));
  const auto begin = std::chrono::steady_clock::now();
  holding.release();
  readAll(socket);
  CHECK(std::chrono::steady_clock::now() - begin < milliseconds(2000));
}

TEST_CASE("connections that wait in the backlog are served when the server stops accepting") {
  HoldingServer holding;
  std::promise<void> go_on;
  asio::post(holding.workers().context(0), [held = go_on.get_future().share()] { held.wait(); });
  std::vector<asio::ip::tcp::socket> sockets;
  for (int i = 0; i < 5; ++i) {
    sockets.push_back(holding.connect());
    send(sockets.back(), kGet);
  }
  holding.server().stopAccepting();
  go_on.set_value();
  for (auto& socket : sockets) {
    CHECK(countOf(readAll(socket), "200 OK") == 1);
  }
}

TEST_CASE("the end of a response is not lost to bytes that the client sent behind its request") {
  HoldingServer holding;
  auto socket = holding.connect();
  send(socket, "GET /large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" +
                   std::string(size_t{256} * 1024, 'x'));
  std::string received(kLargeBytes / 4, ' ');
  asio::read(socket, asio::buffer(received));
  // The rest is in the buffers of both sides, so that the server has written all.
  asio::socket_base::receive_buffer_size size(static_cast<int>(kLargeBytes));
  socket.set_option(size);
  std::this_thread::sleep_for(milliseconds(200));
  received += readAll(socket);
  CHECK(countOf(received.substr(0, 200), "200 OK") == 1);
  CHECK(received.size() > kLargeBytes);
}

} // namespace workshatch::test

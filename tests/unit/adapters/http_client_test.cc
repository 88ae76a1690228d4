/// @file
/// Tests that the HTTP client closes connections that stay idle.
#include <atomic>
#include <chrono>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include "adapters/http/http_client.h"
#include "adapters/http/http_server.h"
#include "unit/wait_until.h"

namespace workshatch::test {

namespace {

namespace asio = boost::asio;

constexpr size_t kConnections = 3;
/// Keep-alive time of a client whose server sends no Keep-Alive header, in milliseconds.
constexpr int64_t kKeepAliveMs = 3000;

/// A clock that a test sets. Safe for concurrent use.
class ManualClock : public Clock {
public:
  void advance(int64_t milliseconds) { now_ms_ += milliseconds; }
  int64_t monotonicMs() const override { return now_ms_; }
  uint64_t wallMs() const override { return static_cast<uint64_t>(now_ms_.load()); }

private:
  std::atomic<int64_t> now_ms_{0};
};

/// A server that answers once as many requests are in progress as the test makes, so that each
/// needs its own connection.
class ClientAndServer {
public:
  explicit ClientAndServer(std::string keep_alive = "")
      : keep_alive_(std::move(keep_alive)),
        server_(
            workers_, http::ServerLimits(),
            [this](http::Exchange& exchange) { return answerTogether(exchange); },
            [](http::Status status, const std::string&) {
              return http::makeResponse(status, "text/plain", "");
            }) {
    address_ = std::get<std::string>(server_.listen("127.0.0.1:0"));
    workers_.start();
  }
  ~ClientAndServer() { workers_.stop(); }
  ClientAndServer(const ClientAndServer&) = delete;
  ClientAndServer& operator=(const ClientAndServer&) = delete;

  /// Makes concurrent calls and waits for all responses.
  void callConcurrently(size_t calls) {
    expected_ = calls;
    for (size_t i = 0; i < calls; ++i) {
      asio::co_spawn(context_, callOnce(), asio::detached);
    }
    context_.restart();
    context_.run();
  }

  uint64_t openConnections() const { return server_.stats().open_connections.load(); }
  uint64_t acceptedConnections() const { return server_.stats().connections.load(); }
  bool hasOpenConnections(uint64_t count) const {
    return waitUntil([&] { return openConnections() == count; });
  }

  ManualClock clock;
  http::Client& client() { return client_; }

private:
  http::awaitable<void> answerTogether(http::Exchange& exchange) {
    ++arrived_;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (arrived_ < expected_) {
      timer.expires_after(std::chrono::milliseconds(1));
      co_await timer.async_wait(asio::use_awaitable);
    }
    http::Response response = http::makeResponse(http::Status::ok, "text/plain", "ok");
    if (!keep_alive_.empty()) {
      response.set(http::Field::keep_alive, keep_alive_);
    }
    co_await exchange.respond(std::move(response));
  }

  http::awaitable<void> callOnce() {
    http::Request request(http::Verb::get, "/", 11);
    const http::CallOptions options;
    http::CallResult result = co_await client_.call(address_, std::move(request), options);
    co_await std::get<std::unique_ptr<http::ClientResponse>>(result)->readAll(100);
  }

  const std::string keep_alive_;
  std::atomic<size_t> arrived_{0};
  std::atomic<size_t> expected_{0};
  WorkerPool workers_{1};
  http::Server server_;
  std::string address_;
  asio::io_context context_;
  http::Client client_{context_, clock};
};

} // namespace

// Guards against a burst of requests whose connections stay open for as long as the process runs:
// a router exceeded its number of descriptors after runners had been frozen.
TEST_CASE("idle connections of a client are closed when their keep-alive time has passed") {
  ClientAndServer peers;
  peers.callConcurrently(kConnections);
  REQUIRE(peers.hasOpenConnections(kConnections));
  peers.clock.advance(kKeepAliveMs - 1);
  peers.client().closeExpiredConnections();
  CHECK(peers.openConnections() == kConnections);
  peers.clock.advance(1);
  peers.client().closeExpiredConnections();
  CHECK(peers.hasOpenConnections(0));
}

// Guards against a request that is sent on a connection which the server is just closing.
TEST_CASE("a connection is not reused after the time that its server states") {
  ClientAndServer peers("timeout=2");
  peers.callConcurrently(1);
  peers.clock.advance(1399);
  peers.callConcurrently(1);
  CHECK(peers.acceptedConnections() == 1);
  peers.clock.advance(1400);
  peers.callConcurrently(1);
  CHECK(peers.acceptedConnections() == 2);
}

} // namespace workshatch::test

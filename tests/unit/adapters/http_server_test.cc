/// @file
/// Tests of the HTTP server's limits on requests that are too large, too slow or malformed, of the
/// phase that the client reports for a failed call, and of error responses.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "adapters/http/blocking_client.h"
#include "adapters/http/http_client.h"
#include "adapters/http/http_server.h"
#include "adapters/http/problem.h"
#include "adapters/system_clock.h"
#include "unit/wait_until.h"

namespace workshatch::test {

namespace {

namespace asio = boost::asio;

http::awaitable<void> answerOk(http::Exchange& exchange) {
  exchange.closeAfterResponse();
  http::Response response = http::makeResponse(http::Status::ok, "text/plain", "ok");
  co_await exchange.respond(std::move(response));
}

http::Response refuse(http::Status status, const std::string& reason) {
  return http::makeProblem(
      http::Problem{.status = status, .code = "bad-request", .detail = reason});
}

/// Sends raw bytes. @return the status line of the response.
std::string statusLineOf(const std::string& address, const std::string& bytes) {
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect(*http::parseEndpoint(address));
  boost::system::error_code failure;
  asio::write(socket, asio::buffer(bytes), failure);
  std::string response;
  asio::read(socket, asio::dynamic_buffer(response), failure);
  return response.substr(0, response.find("\r\n"));
}

/// A server with small limits that answers "ok".
class SmallServer {
public:
  SmallServer() : server_(workers_, limits(), &answerOk, &refuse) {
    address_ = std::get<std::string>(server_.listen("127.0.0.1:0"));
    workers_.start();
  }
  ~SmallServer() { workers_.stop(); }
  SmallServer(const SmallServer&) = delete;
  SmallServer& operator=(const SmallServer&) = delete;

  const std::string& address() const { return address_; }

  std::string send(const std::string& bytes) const { return statusLineOf(address_, bytes); }

private:
  static http::ServerLimits limits() {
    http::ServerLimits limits;
    limits.header_bytes = 1024;
    limits.body_bytes = 2048;
    limits.read_timeout = std::chrono::milliseconds(150);
    return limits;
  }

  WorkerPool workers_{1};
  http::Server server_;
  std::string address_;
};

/// A server that answers "ok" and has a limit on the memory that bodies take.
class BudgetServer {
public:
  /// Enough for three bodies of 1 MiB and for small ones beside them.
  static constexpr limits::BodyBudgetLimits kLimits{.process_bytes = size_t{8} << 20U,
                                                    .reserved_bytes = size_t{1} << 20U,
                                                    .small_bytes = size_t{64} << 10U};

  BudgetServer() : server_(workers_, serverLimits(), &answerOk, &refuse) {
    server_.limitBodies({.budget = budget_, .refuse = [](const http::Request& head) {
                           CHECK(head[http::Field::host] == "a");
                           return http::makeProblem(
                               http::Problem{.status = http::Status::service_unavailable,
                                             .code = "no_memory",
                                             .retry_after_ms = 1000});
                         }});
    address_ = std::get<std::string>(server_.listen("127.0.0.1:0"));
    workers_.start();
  }
  ~BudgetServer() { workers_.stop(); }
  BudgetServer(const BudgetServer&) = delete;
  BudgetServer& operator=(const BudgetServer&) = delete;

  const std::string& address() const { return address_; }
  const limits::BodyBudget& budget() const { return *budget_; }
  std::string send(const std::string& bytes) const { return statusLineOf(address_, bytes); }

private:
  static http::ServerLimits serverLimits() {
    http::ServerLimits limits;
    limits.body_bytes = size_t{16} << 20U;
    return limits;
  }

  const std::shared_ptr<limits::BodyBudget> budget_ = std::make_shared<limits::BodyBudget>(kLimits);
  WorkerPool workers_{1};
  http::Server server_;
  std::string address_;
};

/// A request whose head and first half of the body were sent.
class HalfSent {
public:
  HalfSent(const std::string& address, size_t body_bytes) : rest_(body_bytes / 2, 'x') {
    socket_.connect(*http::parseEndpoint(address));
    const std::string head =
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(2 * rest_.size()) +
        "\r\n\r\n";
    asio::write(socket_, asio::buffer(head + rest_));
  }

  /// Sends the rest of the body. @return the response; without its end if the connection was reset.
  std::string finish() {
    boost::system::error_code failure;
    asio::write(socket_, asio::buffer(rest_), failure);
    CHECK(!failure);
    std::string response;
    asio::read(socket_, asio::dynamic_buffer(response), failure);
    CHECK(failure == asio::error::eof);
    return response;
  }

private:
  const std::string rest_;
  asio::io_context context_;
  asio::ip::tcp::socket socket_{context_};
};

} // namespace

TEST_CASE("requests that are too large, too slow or malformed get a 4xx while others are served") {
  const SmallServer server;
  CHECK(server.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n") == "HTTP/1.1 200 OK");
  CHECK(server.send("nonsense\r\n\r\n") == "HTTP/1.1 400 Bad Request");
  CHECK(server.send("POST / HTTP/1.1\r\nContent-Length: 4096\r\n\r\n" + std::string(4096, 'x')) ==
        "HTTP/1.1 413 Payload Too Large");
  CHECK(server.send("GET / HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n") ==
        "HTTP/1.1 431 Request Header Fields Too Large");
  CHECK(server.send("GET / HTTP/1.1\r\n\r\n") == "HTTP/1.1 400 Bad Request");
  // An incomplete request does not delay a request on another connection.
  asio::io_context context;
  asio::ip::tcp::socket slow(context);
  slow.connect(*http::parseEndpoint(server.address()));
  asio::write(slow, asio::buffer(std::string("GET / HTTP/1.1\r\nHo")));
  CHECK(std::get<std::string>(http::blockingGet(server.address(), "/")) == "ok");
  std::string response;
  boost::system::error_code failure;
  asio::read(slow, asio::dynamic_buffer(response), failure);
  CHECK(response.substr(0, response.find("\r\n")) == "HTTP/1.1 408 Request Timeout");
}

TEST_CASE("a call that fails on an idle connection counts as sent, also if reconnecting fails") {
  WorkerPool workers(1);
  http::Server* server_address = nullptr;
  int requests = 0;
  const auto handle = [&](http::Exchange& exchange) -> http::awaitable<void> {
    if (++requests == 1) {
      http::Response response = http::makeResponse(http::Status::ok, "text/plain", "ok");
      co_await exchange.respond(std::move(response));
      co_return;
    }
    // Simulates a server process that crashes during the request: the connection is reset and
    // nothing listens at the address any more.
    server_address->stopAccepting();
    exchange.abort();
  };
  http::Server server(workers, http::ServerLimits(), handle,
                      [](http::Status status, const std::string&) {
                        return http::makeResponse(status, "text/plain", "");
                      });
  server_address = &server;
  const std::string address = std::get<std::string>(server.listen("127.0.0.1:0"));
  workers.start();

  asio::io_context context;
  const SystemClock clock;
  http::Client client(context, clock);
  std::vector<http::CallError> errors;
  const auto call = [&]() -> http::awaitable<void> {
    for (int i = 0; i < 2; ++i) {
      http::Request request(http::Verb::get, "/", 11);
      const http::CallOptions options;
      http::CallResult result = co_await client.call(address, std::move(request), options);
      if (auto* response = std::get_if<std::unique_ptr<http::ClientResponse>>(&result)) {
        co_await (*response)->readAll(100);
      } else {
        errors.push_back(std::get<http::CallError>(result));
      }
    }
  };
  asio::co_spawn(context, call(), asio::detached);
  context.run();
  workers.stop();
  REQUIRE(errors.size() == 1);
  CHECK(errors[0].phase == http::CallPhase::Sent);
}

TEST_CASE("bodies that exceed the memory of the process are refused, small ones served") {
  constexpr size_t kBody = size_t{1} << 20U;
  constexpr size_t kRequests = 40;
  // The large bodies have 7 MiB, and each takes twice the half of it that has arrived.
  constexpr size_t kMostHalves = 7;
  BudgetServer server;
  std::vector<std::unique_ptr<HalfSent>> large;
  for (size_t i = 0; i < kRequests; ++i) {
    large.push_back(std::make_unique<HalfSent>(server.address(), kBody));
  }
  const bool refused_in_time =
      waitUntil([&server] { return server.budget().refusals() >= kRequests - kMostHalves; });
  CHECK(refused_in_time);
  CHECK(server.budget().peakBytes() <= BudgetServer::kLimits.process_bytes);
  CHECK(server.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc") ==
        "HTTP/1.1 200 OK");
  size_t served = 0;
  for (const auto& request : large) {
    const std::string response = request->finish();
    const bool refused = response.starts_with("HTTP/1.1 503");
    CHECK((refused || response.starts_with("HTTP/1.1 200")));
    CHECK(refused == (response.find("Retry-After: 1") != std::string::npos));
    served += refused ? 0 : 1;
  }
  CHECK(served >= 1);
  CHECK(served <= kMostHalves);
  CHECK(waitUntil([&server] { return server.budget().heldBytes() == 0; }));
}

TEST_CASE("callers that state a large body and send none of it take the memory of others") {
  constexpr size_t kBody = size_t{1} << 20U;
  constexpr size_t kRequests = 40;
  BudgetServer server;
  asio::io_context context;
  std::vector<asio::ip::tcp::socket> stalled;
  const std::string head =
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\n";
  for (size_t i = 0; i < kRequests; ++i) {
    stalled.emplace_back(context).connect(*http::parseEndpoint(server.address()));
    asio::write(stalled.back(), asio::buffer(head));
  }
  CHECK(server.send(head + std::string(kBody, 'x')) == "HTTP/1.1 200 OK");
  CHECK(server.budget().refusals() == 0);
}

TEST_CASE("a chunked body that grows past the memory of the process is refused") {
  BudgetServer server;
  const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto chunked = [&head](size_t chunks) {
    std::string bytes = head;
    for (size_t i = 0; i < chunks; ++i) {
      bytes += "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    }
    return bytes + "0\r\n\r\n";
  };
  CHECK(server.send(chunked(0)) == "HTTP/1.1 200 OK");
  CHECK(server.send(chunked(16)) == "HTTP/1.1 200 OK");
  CHECK(server.send(chunked(70)) == "HTTP/1.1 503 Service Unavailable");
  CHECK(server.budget().peakBytes() <= BudgetServer::kLimits.process_bytes);
  CHECK(waitUntil([&server] { return server.budget().heldBytes() == 0; }));
}

TEST_CASE("an error response states whether the request was executed and when to retry") {
  const http::Response response =
      http::makeProblem(http::Problem{.status = http::Status::service_unavailable,
                                      .code = "overloaded",
                                      .detail = "full",
                                      .execution = http::Execution::NotRun,
                                      .retry_after_ms = 1200});
  CHECK(http::fieldOf(response, "Retry-After") == "2");
  CHECK(http::fieldOf(response, "Content-Type") == "application/problem+json");
  CHECK(response.body().find("\"execution\":\"not-run\"") != std::string::npos);
}

} // namespace workshatch::test

/// @file
/// Tests of handlers and loops that fail with an exception.
#include <chrono>
#include <stdexcept>
#include <string>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "adapters/accept_failures.h"
#include "adapters/detached_task.h"
#include "adapters/http/http_server.h"
#include "unit/wait_until.h"

namespace workshatch::test {

namespace {

namespace asio = boost::asio;

/// @return the whole response of a server to a request.
std::string responseTo(const std::string& address, const std::string& path) {
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect(*http::parseEndpoint(address));
  const std::string request = "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
  boost::system::error_code failure;
  asio::write(socket, asio::buffer(request), failure);
  std::string response;
  asio::read(socket, asio::dynamic_buffer(response), failure);
  return response;
}

/// Fails before its response, or in the middle of it.
http::awaitable<void> fail(http::Exchange& exchange) {
  if (exchange.path() == "/stream") {
    http::Response head = http::makeResponse(http::Status::ok, "text/plain", "");
    co_await exchange.startStream(std::move(head));
    co_await exchange.write("first");
  }
  throw std::runtime_error("fails");
}

} // namespace

// Guards against callers without an answer, and a planned stop that waits for their requests.
TEST_CASE("a request whose handler fails is answered and no longer counts as in progress") {
  WorkerPool workers(1);
  http::Server server(workers, http::ServerLimits(), &fail, [](http::Status status, const auto&) {
    return http::makeResponse(status, "text/plain", "");
  });
  const std::string address = std::get<std::string>(server.listen("127.0.0.1:0"));
  workers.start();
  const std::string failed = responseTo(address, "/plain");
  CHECK(failed.starts_with("HTTP/1.1 500 "));
  // The handler may have sent the request on.
  CHECK(failed.find("X-Execution: unknown") != std::string::npos);
  const std::string broken_off = responseTo(address, "/stream");
  CHECK(broken_off.ends_with("first\r\n"));
  CHECK(waitUntil([&] { return server.stats().open_connections == 0; }));
  CHECK(server.requestsInProgress() == 0);
  workers.stop();
}

// Guards against a loop that an exception ends for good.
TEST_CASE("a loop that fails is begun anew") {
  asio::io_context context;
  int begun = 0;
  detached_task::spawnLoop(context.get_executor(), "test", [&]() -> asio::awaitable<void> {
    if (++begun == 1) {
      throw std::runtime_error("fails");
    }
    co_return;
  });
  context.run_for(std::chrono::seconds(5));
  CHECK(begun == 2);
}

// Guards against an accept loop that takes the processor while no descriptor is free.
TEST_CASE("accepting pauses after a failure for lack of descriptors, not after an aborted one") {
  AcceptFailures failures("test");
  CHECK(failures.record(asio::error::no_descriptors) > std::chrono::milliseconds(0));
  CHECK(failures.record(asio::error::connection_aborted) == std::chrono::milliseconds(0));
}

} // namespace workshatch::test

/// @file
/// Tests of engines that send bytes without end to a router. The tests are named after the failures
/// that they guard against.
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <boost/asio/read.hpp>
#include <doctest/doctest.h>

#include "unit/daemon/relay/relay_fixture.h"
#include "unit/daemon/router/router_fixture.h"
#include "unit/endless_writer.h"

namespace workshatch::test {

namespace {

constexpr const char* kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

} // namespace

TEST_CASE("An event without an end is held by a router without a limit, or leaves no response") {
  std::atomic<size_t> most{0};
  ScriptedRunner engine([&](auto& socket, const std::string&) {
    writeTo(socket, std::string(kStreamHead) + "data: ");
    most = std::max(most.load(), writeWithoutEnd(socket));
  });
  TestRouter router;
  router.serveTenant("acampar", engine.address());
  const auto status = router.statusFor(chatRequest());
  CHECK((status == http::Status::bad_gateway || status == http::Status::service_unavailable));
  REQUIRE(within(kTestTimeout, [&] { return most > 0; }));
  CHECK(most < kEndlessBytes);
}

TEST_CASE("A body that states a length above the limit is read until it reaches it") {
  const std::array<std::string, 2> framings = {"Content-Length: 99999999999\r\n\r\n",
                                               "Transfer-Encoding: chunked\r\n\r\nffffffff\r\n"};
  for (const std::string& framing : framings) {
    CAPTURE(framing);
    // Nothing of the body is sent, so that who waits for it reaches its time limit.
    ScriptedRunner server([&](auto& socket, const std::string&) {
      writeTo(socket, "HTTP/1.1 200 OK\r\n" + framing);
      boost::system::error_code closed;
      char byte = 0;
      boost::asio::read(socket, boost::asio::buffer(&byte, 1), closed);
    });
    boost::asio::io_context context;
    const SystemClock clock;
    http::Client client(context, clock);
    std::optional<http::CallError> error;
    boost::asio::co_spawn(
        context,
        [&]() -> http::awaitable<void> {
          constexpr size_t kLimitBytes = 1000;
          http::Request request(http::Verb::get, "/", 11);
          const http::CallOptions options{.read_timeout = std::chrono::milliseconds(500)};
          http::CallResult result =
              co_await client.call(server.address(), std::move(request), options);
          auto body = co_await std::get<std::unique_ptr<http::ClientResponse>>(result)->readAll(
              kLimitBytes);
          if (const auto* failed = std::get_if<http::CallError>(&body)) {
            error = *failed;
          }
        },
        boost::asio::detached);
    context.run();
    REQUIRE(error);
    CHECK_FALSE(error->timed_out);
  }
}

} // namespace workshatch::test

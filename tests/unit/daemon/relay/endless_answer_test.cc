/// @file
/// Tests of responses whose runner sends bytes without end: what the relay holds of them is
/// bounded, the request counts as run, and other callers are served.
#include <algorithm>
#include <atomic>
#include <future>
#include <string>
#include <vector>

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

using relay::RouteKind;

namespace {

/// More than the relay holds of one response, and the kernel of one connection.
constexpr size_t kEndlessBytes = size_t{128} * 1024 * 1024;

/// Writes until the relay closes the connection. @return the bytes written.
size_t writeWithoutEnd(ScriptedRunner::Socket& socket) {
  const std::string piece(size_t{64} * 1024, 'x');
  boost::system::error_code failure;
  size_t written = 0;
  while (!failure && written < kEndlessBytes) {
    written += boost::asio::write(socket, boost::asio::buffer(piece), failure);
  }
  return written;
}

std::string endlessHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nW-Request: " + id +
         "\r\nW-Signature: s\r\nContent-Length: 1000000000000\r\n\r\n";
}

} // namespace

TEST_CASE("An event without an end is held without a limit") {
  std::atomic<size_t> written{0};
  ScriptedRunner runner([&](auto& socket, const std::string& request) {
    writeTo(socket,
            streamHead(requestIdOf(request)) + chunk("id: 1\ndata: d\n\n") + "ffffffffff\r\n");
    written = writeWithoutEnd(socket);
  });
  TestRelay relay(testRoute(RouteKind::Streaming, 1));
  relay.addRunner("runner-1", runner.address());
  relay.start();
  const std::string answer = relay.sendRequest("q1");
  CHECK(answer.find("id: 1") != std::string::npos);
  CHECK(answer.size() < 1024);
  CHECK_FALSE(answer.ends_with(kLastChunk));
  REQUIRE(within(kTestTimeout, [&] { return written > 0; }));
  CHECK(written < kEndlessBytes);
}

TEST_CASE("A head without an end leaves its request without a response, or lets it run twice") {
  const auto script = [](auto& socket, const std::string&) {
    writeTo(socket, "HTTP/1.1 200 OK\r\nX-Filler: ");
    writeWithoutEnd(socket);
  };
  ScriptedRunner first(script);
  ScriptedRunner second(script);
  TestRelay relay(testRoute(RouteKind::RunOnce, 3));
  relay.addRunner("runner-1", first.address());
  relay.addRunner("runner-2", second.address());
  relay.start();
  CHECK(relay.sendRequest("q1").starts_with("HTTP/1.1 502"));
  CHECK(first.requests() + second.requests() == 1);
}

TEST_CASE("Bodies without an end together take the memory of the relay") {
  constexpr size_t kCallers = 6;
  std::vector<std::unique_ptr<ScriptedRunner>> runners;
  TestRelay relay(testRoute(RouteKind::RunOnce, 3));
  for (size_t i = 0; i < kCallers; ++i) {
    runners.push_back(
        std::make_unique<ScriptedRunner>([](auto& socket, const std::string& request) {
          writeTo(socket, endlessHead(requestIdOf(request)));
          writeWithoutEnd(socket);
        }));
    relay.addRunner("runner-" + std::to_string(i), runners.back()->address());
  }
  relay.start();
  std::vector<std::future<std::string>> answers;
  for (size_t i = 0; i < kCallers; ++i) {
    answers.push_back(std::async(
        std::launch::async, [&relay, i] { return relay.sendRequest("q" + std::to_string(i)); }));
  }
  size_t most_held = 0;
  const auto allAnswered = [&] {
    std::promise<size_t> held;
    boost::asio::post(relay.context(),
                      [&] { held.set_value(relay.state().incomplete_answers->bufferedBytes()); });
    most_held = std::max(most_held, held.get_future().get());
    return std::all_of(answers.begin(), answers.end(), [](const auto& answer) {
      return answer.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    });
  };
  REQUIRE(within(kTestTimeout, allAnswered));
  for (auto& answer : answers) {
    CHECK(answer.get().starts_with("HTTP/1.1 502"));
  }
  // All of them together exceed the limit, so what is held must be counted and come close to it.
  CHECK(most_held > daemon::kIncompleteAnswersBytes / 2);
  CHECK(most_held <= daemon::kIncompleteAnswersBytes);
  CHECK(relay.state().incomplete_answers->bufferedBytes() == 0);
}

} // namespace workshatch::test

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

#include "unit/allocation_peak.h"
#include "unit/daemon/relay/relay_fixture.h"
#include "unit/endless_writer.h"

namespace workshatch::test {

using relay::RouteKind;

namespace {

constexpr size_t kMebibyte = size_t{1024} * 1024;
/// Limit of what a relay holds of all incomplete responses, if no limit of its memory is known.
constexpr size_t kAnswersBytes = 32 * kMebibyte;

/// @param framing header that says where the body ends
std::string plainHead(const std::string& id, const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nW-Request: " + id + "\r\nW-Signature: s\r\n" + framing + "\r\n\r\n";
}

/// Runs a function on the relay's event loop. @return its result.
template <typename Function> auto onLoop(TestRelay& relay, Function function) {
  std::packaged_task<decltype(function())()> task(std::move(function));
  auto result = task.get_future();
  boost::asio::post(relay.context(), [&task] { task(); });
  return result.get();
}

/// Runners that answer alike, without an end, and a relay that asks all of them at once.
class EndlessRunners {
public:
  /// @param begin_of the beginning of the response to a request
  EndlessRunners(size_t count, RouteKind kind,
                 std::function<std::string(const std::string& id)> begin_of)
      : relay_(testRoute(kind, 1)) {
    for (size_t i = 0; i < count; ++i) {
      runners_.push_back(
          std::make_unique<ScriptedRunner>([begin_of](auto& socket, const std::string& request) {
            writeTo(socket, begin_of(requestIdOf(request)));
            writeWithoutEnd(socket);
          }));
      relay_.addRunner("runner-" + std::to_string(i), runners_.back()->address());
    }
    relay_.start();
  }

  /// Sends a request for each runner and waits until all are answered.
  void askAll() {
    onLoop(relay_, [] { beginAllocationPeak(); });
    std::vector<std::future<std::string>> calls;
    for (size_t i = 0; i < runners_.size(); ++i) {
      calls.push_back(std::async(
          std::launch::async, [this, i] { return relay_.sendRequest("q" + std::to_string(i)); }));
    }
    const auto allAnswered = [&] {
      most_held_ = std::max(most_held_, onLoop(relay_, [this] { return heldBytes(); }));
      return std::all_of(calls.begin(), calls.end(), [](const auto& call) {
        return call.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
      });
    };
    REQUIRE(within(kTestTimeout, allAnswered));
    for (auto& call : calls) {
      answers_.push_back(call.get());
    }
    peak_bytes_ = onLoop(relay_, [] { return allocationPeak(); });
    held_at_end_ = onLoop(relay_, [this] { return heldBytes(); });
  }

  const std::vector<std::string>& answers() const { return answers_; }
  /// Most bytes that the relay counted, and that its thread had allocated, at the same time.
  size_t mostHeld() const { return most_held_; }
  size_t peakBytes() const { return peak_bytes_; }
  size_t heldAtEnd() const { return held_at_end_; }

private:
  size_t heldBytes() { return relay_.state().incomplete_answers->bufferedBytes(); }

  std::vector<std::unique_ptr<ScriptedRunner>> runners_;
  TestRelay relay_;
  std::vector<std::string> answers_;
  size_t most_held_ = 0;
  size_t peak_bytes_ = 0;
  size_t held_at_end_ = 0;
};

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
  // A body that the end of the connection ends, so that no length is stated.
  EndlessRunners runners(kCallers, RouteKind::RunOnce,
                         [](const std::string& id) { return plainHead(id, "Connection: close"); });
  runners.askAll();
  for (const std::string& answer : runners.answers()) {
    CHECK(answer.starts_with("HTTP/1.1 502"));
  }
  // All of them together exceed the limit, so what is held must be counted and come close to it.
  CHECK(runners.mostHeld() > kAnswersBytes / 2);
  CHECK(runners.mostHeld() <= kAnswersBytes);
  CHECK(runners.heldAtEnd() == 0);
  // A body is held twice while its buffer grows, which happens to one of them at a time.
  constexpr size_t kCopyBytes = 16 * kMebibyte;
  constexpr size_t kOtherBytes = 2 * kMebibyte;
  CHECK(runners.peakBytes() <= kAnswersBytes + kCopyBytes + kOtherBytes);
}

TEST_CASE("Bodies that state a length above the limit are held until they reach it") {
  constexpr size_t kCallers = 12;
  const std::vector<std::string> framings = {"Content-Length: 99999999999",
                                             "Transfer-Encoding: chunked\r\n\r\nffffffff"};
  for (const std::string& framing : framings) {
    CAPTURE(framing);
    EndlessRunners runners(kCallers, RouteKind::RunOnce,
                           [&](const std::string& id) { return plainHead(id, framing); });
    runners.askAll();
    for (const std::string& answer : runners.answers()) {
      CHECK(answer.starts_with("HTTP/1.1 502"));
    }
    CHECK(runners.mostHeld() == 0);
    CHECK(runners.peakBytes() < 4 * kMebibyte);
  }
}

TEST_CASE("Whole responses to callers that do not read take the memory of the relay") {
  constexpr size_t kCallers = 8;
  constexpr size_t kBodyBytes = 10 * kMebibyte;
  const std::string body(kBodyBytes, 'x');
  ScriptedRunner runner([&](auto& socket, const std::string& request) {
    writeTo(socket, plainHead(requestIdOf(request), "Connection: close\r\nContent-Length: " +
                                                        std::to_string(kBodyBytes)) +
                        body);
  });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address());
  relay.start();
  onLoop(relay, [] { beginAllocationPeak(); });
  boost::asio::io_context context;
  std::vector<boost::asio::ip::tcp::socket> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    auto& caller = callers.emplace_back(context);
    caller.connect(*http::parseEndpoint(relay.address()));
    boost::asio::write(caller,
                       boost::asio::buffer(TestRelay::requestText("q" + std::to_string(i))));
    REQUIRE(within(kTestTimeout, [&] { return caller.available() > 0; }));
  }
  const size_t held =
      onLoop(relay, [&] { return relay.state().incomplete_answers->bufferedBytes(); });
  CHECK(held <= kAnswersBytes);
  // What is not counted is the copy of a body whose buffer grows.
  constexpr size_t kOtherBytes = 18 * kMebibyte;
  CHECK(onLoop(relay, [] { return allocationPeak(); }) <= kAnswersBytes + kOtherBytes);
}

TEST_CASE("A refusal without an end is read until the request's time is over") {
  std::atomic<size_t> written{0};
  ScriptedRunner runner([&](auto& socket, const std::string& request) {
    writeTo(socket, "HTTP/1.1 503 Full\r\nW-Request: " + requestIdOf(request) +
                        "\r\nW-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n");
    written = writeWithoutEnd(socket);
  });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address());
  relay.start();
  CHECK(relay.sendRequest("q1").starts_with("HTTP/1.1 503"));
  REQUIRE(within(kTestTimeout, [&] { return written > 0; }));
  constexpr size_t kKernelBytes = 16 * kMebibyte;
  CHECK(written < kKernelBytes);
}

TEST_CASE("Events without an end together take the memory of the relay") {
  constexpr size_t kCallers = 40;
  EndlessRunners runners(kCallers, RouteKind::Streaming, [](const std::string& id) {
    return streamHead(id) + chunk("id: 1\ndata: d\n\n") + "ffffffff\r\n";
  });
  runners.askAll();
  for (const std::string& answer : runners.answers()) {
    CHECK_FALSE(answer.ends_with(kLastChunk));
  }
  CHECK(runners.mostHeld() <= kAnswersBytes);
  CHECK(runners.heldAtEnd() == 0);
  constexpr size_t kOtherBytes = 4 * kMebibyte;
  CHECK(runners.peakBytes() <= kAnswersBytes + kOtherBytes);
}

} // namespace workshatch::test

/// @file
/// Tests of the demand of requests at a relay and of the log members that tell a late first event
/// from a pause in the middle of a stream. Titles name the failures that they guard against.
#include <atomic>
#include <cstdio>
#include <future>
#include <iostream>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include "adapters/logging/line_log.h"
#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

using relay::RouteKind;

namespace {

/// Collects the lines of the log during its lifetime. Standard output is redirected meanwhile, so
/// no check may be made in this time: its result would not be shown.
class LogCapture {
public:
  LogCapture() : file_(std::tmpfile()), standard_output_(::dup(STDOUT_FILENO)) {
    std::cout.flush();
    ::dup2(::fileno(file_), STDOUT_FILENO);
    // Discards the lines of earlier tests, which would fill the buffer.
    line_log::flush();
    discarded_ = ::lseek(::fileno(file_), 0, SEEK_END);
  }
  ~LogCapture() {
    ::dup2(standard_output_, STDOUT_FILENO);
    ::close(standard_output_);
    std::fclose(file_);
  }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  /// @return the lines `request_ended`, in order.
  std::vector<nlohmann::json> requestsEnded() {
    line_log::flush();
    const off_t end = ::lseek(::fileno(file_), 0, SEEK_END);
    std::string text(static_cast<size_t>(end - discarded_), '\0');
    const ssize_t count = ::pread(::fileno(file_), text.data(), text.size(), discarded_);
    std::istringstream lines(text.substr(0, static_cast<size_t>(std::max<ssize_t>(count, 0))));
    std::vector<nlohmann::json> ended;
    for (std::string line; std::getline(lines, line);) {
      nlohmann::json parsed = nlohmann::json::parse(line, nullptr, false);
      if (parsed.is_object() && parsed.value("event", "") == "request_ended") {
        ended.push_back(std::move(parsed));
      }
    }
    return ended;
  }

private:
  std::FILE* const file_;
  const int standard_output_;
  off_t discarded_ = 0;
};

/// Runs `action` on the relay's event loop and waits for it.
template <typename Action> auto onRelay(TestRelay& relay, Action action) {
  std::packaged_task<decltype(action())()> task(action);
  auto result = task.get_future();
  boost::asio::post(relay.context(), [&task] { task(); });
  return result.get();
}

void waitForAnswers(TestRelay& relay, uint64_t count) {
  REQUIRE(within(kTestTimeout, [&] {
    return onRelay(relay, [&] { return relay.state().stats.outcomes["answered"]; }) == count;
  }));
}

/// Makes the service of a relay that was not started one of model engines.
void useEngines(TestRelay& relay) {
  relay::Configuration configuration = relay.state().routes->configuration();
  configuration.services[0].model_engine = true;
  configuration.services[0].tokens_per_event = 9;
  relay.state().routes = std::make_shared<const relay::RouteTable>(std::move(configuration));
}

relay::Route streamRoute() {
  relay::Route route = testRoute(RouteKind::Streaming, 1);
  // The clock of the tests jumps ahead by less than the time limit.
  route.timeout_ms = 60'000;
  route.objective_ms = 5000;
  route.pause_objective_ms = 5000;
  return route;
}

constexpr int64_t kJumpMs = 7000;

/// Sends a request to a runner that answers with three events, and lets the clock jump ahead before
/// one of them. @return the log line of the request.
nlohmann::json logOfStreamWithJump(TestRelay& relay, int event_after_jump) {
  std::atomic<int> sendable{0};
  ScriptedRunner runner([&](auto& socket, const std::string& request) {
    writeTo(socket, streamHead(requestIdOf(request)));
    for (int event = 1; event <= 3; ++event) {
      while (sendable < event) {
        std::this_thread::yield();
      }
      writeTo(socket, chunk("data: " + std::to_string(event) + "\n\n"));
    }
    writeTo(socket, kLastChunk);
  });
  relay.addRunner("runner-1", runner.address());
  relay.start();
  LogCapture log;
  auto answer = std::async(std::launch::async, [&] { return relay.sendRequest("q1"); });
  for (int event = 1; event <= 3; ++event) {
    const auto events = static_cast<uint64_t>(event);
    const bool sent =
        within(kTestTimeout, [&] { return runner.requests() == 1; }) && within(kTestTimeout, [&] {
          return onRelay(relay, [&] { return relay.state().stats.events; }) == events - 1;
        });
    if (event == event_after_jump && sent) {
      relay.clock().sleepFor(kJumpMs);
    }
    sendable = event;
  }
  answer.wait();
  within(kTestTimeout, [&] { return !log.requestsEnded().empty(); });
  const auto ended = log.requestsEnded();
  return ended.size() == 1 ? ended[0] : nlohmann::json::object();
}

} // namespace

TEST_CASE("The log line of a late stream does not tell a pause from a late first event") {
  SUBCASE("a pause before the third event") {
    TestRelay relay(streamRoute());
    const auto line = logOfStreamWithJump(relay, 3);
    CHECK(line.value("outcome", "") == "answered");
    CHECK(line.value("longest_pause_ms", int64_t{-1}) >= kJumpMs);
    CHECK(line.value("longest_pause_event", 0) == 3);
    CHECK(line.value("pause_objective_ms", 0) == 5000);
    CHECK(line.value("objective_ms", 0) == 5000);
    CHECK(line.value("first_ms", int64_t{-1}) < kJumpMs);
    CHECK(relay.state().stats.long_pauses == 1);
    CHECK(relay.state().stats.late_first_events == 0);
  }
  SUBCASE("a late first event") {
    TestRelay relay(streamRoute());
    const auto line = logOfStreamWithJump(relay, 1);
    CHECK(line.value("outcome", "") == "answered");
    CHECK(line.value("first_ms", int64_t{-1}) >= kJumpMs);
    CHECK(line.value("longest_pause_ms", int64_t{-1}) < kJumpMs);
    CHECK(relay.state().stats.long_pauses == 0);
    CHECK(relay.state().stats.late_first_events == 1);
  }
}

TEST_CASE("A stated size does not reach the runner, or a malformed one fails the request") {
  ScriptedRunner runner([](auto& socket, const std::string& request) {
    writeTo(socket, streamHead(requestIdOf(request)) + chunk("data: a\n\n") + kLastChunk);
  });
  TestRelay relay(streamRoute());
  useEngines(relay);
  relay.addRunner("runner-1", runner.address());
  relay.start();
  CHECK(relay.sendRequest("q1", "W-Size: 1460 80\r\nW-Hint: 60\r\n").find("data: a") !=
        std::string::npos);
  CHECK(runner.lastRequest().find("W-Size: 1460 80\r\nW-Hint: 60\r\n") != std::string::npos);
  for (const char* size : {"soon", "0 80", "99999999 80"}) {
    CAPTURE(size);
    const std::string header = "W-Size: " + std::string(size) + "\r\n";
    CHECK(relay.sendRequest("q2", header).find("data: a") != std::string::npos);
    CHECK(runner.lastRequest().find(header) != std::string::npos);
  }
  waitForAnswers(relay, 4);
  CHECK(relay.state().stats.demands_told == 1);
  CHECK(relay.state().stats.demands_estimated == 3);
  CHECK(relay.state().stats.demands_rejected == 3);
}

TEST_CASE("A request without a stated size is not estimated from the streams of its route") {
  ScriptedRunner runner([](auto& socket, const std::string& request) {
    std::string events;
    for (int i = 0; i < 4; ++i) {
      events += chunk("data: a\n\n");
    }
    writeTo(socket, streamHead(requestIdOf(request)) + events + kLastChunk);
  });
  const auto linesOf = [&](const relay::Policy& policy) {
    TestRelay relay(streamRoute(), policy);
    useEngines(relay);
    relay.addRunner("runner-1", runner.address());
    relay.start();
    LogCapture log;
    relay.sendRequest("q1");
    relay.sendRequest("q2", "W-Size: 1460 80\r\nW-Hint: 60\r\n");
    // A caller that resumes its own stream gets only the rest of the output.
    relay.sendRequest("q3", "Last-Event-Id: 7\r\n");
    within(kTestTimeout, [&] { return log.requestsEnded().size() == 3; });
    relay.sendRequest("q4");
    within(kTestTimeout, [&] { return log.requestsEnded().size() == 4; });
    return log.requestsEnded();
  };
  const auto lines = linesOf({});
  REQUIRE(lines.size() == 4);
  CHECK(lines[0]["demand"] == "unknown");
  CHECK(lines[0]["prompt_tokens"] == 0);
  CHECK(lines[1]["demand"] == "told");
  CHECK(lines[1]["prompt_tokens"] == 1460);
  CHECK(lines[1]["output_tokens"] == 60);
  CHECK(lines[3]["demand"] == "estimated");
  CHECK(lines[3]["prompt_tokens"] == 1460);
  CHECK(lines[3]["output_tokens"] == 36);
  const auto without = linesOf(relay::Policy{.request_demand = false});
  REQUIRE(without.size() == 4);
  CHECK(without[1]["demand"] == "unknown");
  CHECK(without[1]["objective_ms"] == 5000);
  CHECK(without[3]["prompt_tokens"] == 0);
}

} // namespace workshatch::test

/// @file
/// A machine that sleeps in the middle of a request: on waking, nothing is sent for a caller that
/// has given up, nor on a lease that has run out.
///
/// While a machine is suspended its steady clock and all timers stand still. A relay that was
/// suspended for some seconds woke with its deadline's timer still running and its lease as fresh
/// as before by that clock, and sent what it had been about to send.
#include <memory>
#include <string>

#include <doctest/doctest.h>
#include <time.h>

#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

namespace {

struct Sleep {
  /// How long the caller waits at most, by its own word.
  int64_t timeout_ms = 0;
  int64_t slept_ms = 0;
};

/// Lets the relay sleep between the choice of a runner and the send. @return the answer.
std::string answerAfter(const Sleep& sleep, uint16_t port, const ScriptedRunner& runner) {
  relay::Route route = testRoute(relay::RouteKind::RunOnce, 1);
  route.timeout_ms = 60'000;
  TestRelay relay(route);
  relay.addRunner("runner-1", runner.address(), 4);
  // The relay owns the runner's places itself, and falls asleep when it looks the runner up.
  const std::string address = "127.0.0.1:" + std::to_string(port);
  const auto peers = std::make_shared<daemon::RelayPeers>(relay.context(), relay.state().clock);
  REQUIRE_FALSE(isError(peers->open(address)));
  relay.state().slot_client =
      std::make_shared<daemon::SlotClient>(peers, relay.state().clock, 1, [&](uint64_t) {
        relay.clock().sleepFor(sleep.slept_ms);
        return relay::OwnedRunner{.listed = true};
      });
  peers->setRelays({address});
  relay.start();
  return relay.send(requestText(CallerRequest{.id = "q1", .timeout_ms = sleep.timeout_ms}));
}

} // namespace

TEST_CASE("Nothing is sent for a caller whose patience ended while the machine slept") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  const std::string answer =
      answerAfter(Sleep{.timeout_ms = 2000, .slept_ms = 2500}, 18460, runner);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(runner.requests() == 0);
}

TEST_CASE("Nothing is sent on a lease that ran out while the machine slept") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  const std::string answer =
      answerAfter(Sleep{.timeout_ms = 30'000, .slept_ms = 4500}, 18464, runner);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(runner.requests() == 0);
}

TEST_CASE("A short sleep ends no request") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  const std::string answer =
      answerAfter(Sleep{.timeout_ms = 30'000, .slept_ms = 500}, 18468, runner);
  CHECK(answer.find("done") != std::string::npos);
}

TEST_CASE("The clock of all bounds counts the time that the machine sleeps") {
  timespec now{};
  REQUIRE(clock_gettime(CLOCK_BOOTTIME, &now) == 0);
  const int64_t boot_ms = int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1'000'000;
  const int64_t told_ms = SystemClock().monotonicMs();
  CHECK(told_ms >= boot_ms);
  CHECK(told_ms - boot_ms < 1000);
}

} // namespace workshatch::test

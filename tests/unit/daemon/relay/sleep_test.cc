/// @file
/// Tests of a machine that is suspended during a request. Timers and the steady clock do not
/// advance during the suspension. A relay that relied on them sent a request after it resumed,
/// although the request's deadline had passed or the relay's lease had expired.
#include <memory>
#include <string>

#include <doctest/doctest.h>
#include <time.h>

#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

namespace {

struct Suspension {
  /// Timeout that the caller sends with its request.
  int64_t timeout_ms = 0;
  int64_t suspended_ms = 0;
};

/// Suspends the relay's machine between the choice of a runner and the send.
/// @return the answer to the caller.
std::string answerAfterSuspension(const Suspension& suspension, uint16_t port,
                                  const ScriptedRunner& runner) {
  relay::Route route = testRoute(relay::RouteKind::RunOnce, 1);
  route.timeout_ms = 60'000;
  TestRelay relay(route);
  relay.addRunner("runner-1", runner.address(), 4);
  // The relay owns the runner's slots itself. The suspension happens when it looks the runner up.
  const std::string address = "127.0.0.1:" + std::to_string(port);
  const auto peers = std::make_shared<daemon::RelayPeers>(relay.context(), relay.state().clock);
  REQUIRE_FALSE(isError(peers->open(address)));
  relay.state().slot_client =
      std::make_shared<daemon::SlotClient>(peers, relay.state().clock, 1, [&](uint64_t) {
        relay.clock().sleepFor(suspension.suspended_ms);
        return relay::OwnedRunner{.listed = true};
      });
  peers->setRelays({address});
  relay.start();
  return relay.send(requestText(CallerRequest{.id = "q1", .timeout_ms = suspension.timeout_ms}));
}

} // namespace

TEST_CASE("A request is not sent if its deadline passed while the machine was suspended") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  const std::string answer =
      answerAfterSuspension(Suspension{.timeout_ms = 2000, .suspended_ms = 2500}, 18460, runner);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(runner.requests() == 0);
}

TEST_CASE("A request is not sent if the lease expired while the machine was suspended") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  const std::string answer =
      answerAfterSuspension(Suspension{.timeout_ms = 30'000, .suspended_ms = 4500}, 18464, runner);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(runner.requests() == 0);
}

TEST_CASE("A request is served after a short suspension") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  const std::string answer =
      answerAfterSuspension(Suspension{.timeout_ms = 30'000, .suspended_ms = 500}, 18468, runner);
  CHECK(answer.find("done") != std::string::npos);
}

TEST_CASE("The monotonic clock includes the time during which the machine is suspended") {
  timespec now{};
  REQUIRE(clock_gettime(CLOCK_BOOTTIME, &now) == 0);
  const int64_t boot_ms = int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1'000'000;
  const int64_t clock_ms = SystemClock().monotonicMs();
  CHECK(clock_ms >= boot_ms);
  CHECK(clock_ms - boot_ms < 1000);
}

} // namespace workshatch::test

/// @file
/// Tests of rollouts on a complete system: the operator's order, working and failing runners of the
/// new version, and the share of requests that each version gets. The test of a leader's crash is
/// named after the failure that it guards against.
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "unit/daemon/fleet/test_fleet.h"

namespace workshatch::test {

namespace {

constexpr size_t kRelays = 3;
/// Share of the requests that a version may get before the verdict, and its tolerance in requests.
constexpr double kTrialShare = 0.1;
constexpr double kTrialSlack = 10;

/// Sends requests continuously to all relays, on one thread per relay, until stopped.
class SteadyCallers {
public:
  explicit SteadyCallers(TestFleet& fleet) {
    for (size_t relay = 0; relay < fleet.relayCount(); ++relay) {
      threads_.emplace_back([this, &fleet, relay] {
        while (!stopping_) {
          const std::string answer = fleet.sendRequest(relay, "hi");
          ++(answer.starts_with("HTTP/1.1 200") ? served_ : failed_);
        }
      });
    }
  }
  ~SteadyCallers() { stop(); }
  SteadyCallers(const SteadyCallers&) = delete;
  SteadyCallers& operator=(const SteadyCallers&) = delete;

  void stop() {
    stopping_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }
  size_t served() const { return served_; }
  size_t failed() const { return failed_; }

private:
  std::atomic<bool> stopping_{false};
  std::atomic<size_t> served_{0};
  std::atomic<size_t> failed_{0};
  std::vector<std::thread> threads_;
};

FleetOptions fleetWithNewRunners(uint16_t first_port) {
  return FleetOptions{.relays = kRelays, .runners = 6, .new_runners = 6, .first_port = first_port};
}

std::string rolloutState(const TestFleet& fleet) {
  return fleet.operate(http::Verb::get, "/rollout/s").body();
}

std::string answerOf(RolloutState state) { return TestDialect().rolloutStatusBody(state, "v2"); }

http::Status beginRollout(const TestFleet& fleet, const std::string& order) {
  return fleet.operate(http::Verb::post, "/roll-out", order).result();
}

} // namespace

TEST_CASE("A good version gets its share, then all requests, and the former one none at the end") {
  TestFleet fleet(fleetWithNewRunners(18500));
  SteadyCallers callers(fleet);
  const auto before_order = std::chrono::steady_clock::now();
  REQUIRE(beginRollout(fleet, "s v2 4000") == http::Status::ok);
  CHECK(beginRollout(fleet, "s v2 4000") == http::Status::conflict);
  CHECK(beginRollout(fleet, "s v3 4000") == http::Status::conflict);
  fleet.startNewRunners();
  REQUIRE(within(kTestTimeout, [&] { return fleet.requestsAtNewRunners() > 0; }));
  CHECK(rolloutState(fleet) == answerOf(RolloutState::Running));
  const auto share_kept = [&] {
    const auto at_new = static_cast<double>(fleet.requestsAtNewRunners());
    const auto at_all = at_new + static_cast<double>(fleet.requestsAtRunners());
    return at_new <= kTrialShare * at_all + kTrialSlack;
  };
  // The trial phase takes 0.6 of the rollout's duration. On a busy machine it may end while the
  // requests are counted, so the time is read after them.
  const auto trial_end = before_order + std::chrono::milliseconds(2400);
  while (true) {
    const bool kept = share_kept();
    if (std::chrono::steady_clock::now() >= trial_end) {
      break;
    }
    REQUIRE(kept);
  }
  REQUIRE(within(kTestTimeout,
                 [&] { return rolloutState(fleet) == answerOf(RolloutState::Succeeded); }));
  const size_t at_former = fleet.requestsAtRunners();
  const size_t at_new = fleet.requestsAtNewRunners();
  REQUIRE(within(kTestTimeout, [&] { return fleet.requestsAtNewRunners() > at_new + 50; }));
  CHECK(fleet.requestsAtRunners() == at_former);
  callers.stop();
  CHECK(callers.failed() == 0);
  // An operator whose call's answer was lost can repeat the call, which succeeds again.
  CHECK(beginRollout(fleet, "s v2 4000") == http::Status::ok);
}

TEST_CASE("A failing version is rolled back and gets no requests afterwards") {
  TestFleet fleet(fleetWithNewRunners(18520));
  for (size_t i = 0; i < 6; ++i) {
    fleet.newRunner(i).failOneOf(3);
  }
  SteadyCallers callers(fleet);
  REQUIRE(beginRollout(fleet, "s v2 8000") == http::Status::ok);
  fleet.startNewRunners();
  REQUIRE(within(kTestTimeout,
                 [&] { return rolloutState(fleet) == answerOf(RolloutState::RolledBack); }));
  const auto all_know = [&] {
    for (size_t relay = 0; relay < kRelays; ++relay) {
      const std::string line = "workshatch_relay_rollouts{phase=\"rolled_back\"} 1";
      if (!fleet.metricsHave(relay, line)) {
        return false;
      }
    }
    return true;
  };
  REQUIRE(within(kTestTimeout, all_know));
  const size_t at_new = fleet.requestsAtNewRunners();
  const size_t at_former = fleet.requestsAtRunners();
  CHECK(static_cast<double>(at_new) <=
        kTrialShare * static_cast<double>(at_new + at_former) + kTrialSlack);
  // This also holds after all processes of the system have restarted.
  fleet.restartGroup();
  for (size_t relay = 0; relay < kRelays; ++relay) {
    fleet.restartRelay(relay);
  }
  const size_t after_restart = fleet.requestsAtRunners();
  REQUIRE(within(kTestTimeout, [&] { return fleet.requestsAtRunners() > after_restart + 100; }));
  CHECK(fleet.requestsAtNewRunners() == at_new);
  // Until it has a leader again, the group answers that it can't be sure.
  const auto answered = [&] {
    return fleet.operate(http::Verb::get, "/rollout/s").result() == http::Status::ok;
  };
  REQUIRE(within(kTestTimeout, answered));
  CHECK(rolloutState(fleet) == answerOf(RolloutState::RolledBack));
}

TEST_CASE("A rollout, or the limit of its trial share, is lost when the leader crashes") {
  for (const bool good : {true, false}) {
    CAPTURE(good);
    TestFleet fleet(fleetWithNewRunners(good ? 18560 : 18580));
    for (size_t i = 0; i < 6; ++i) {
      fleet.newRunner(i).failOneOf(good ? 0 : 3);
    }
    SteadyCallers callers(fleet);
    REQUIRE(beginRollout(fleet, "s v2 6000") == http::Status::ok);
    fleet.startNewRunners();
    REQUIRE(within(kTestTimeout, [&] { return fleet.requestsAtNewRunners() > 0; }));
    fleet.restartGroup();
    const auto at_new = static_cast<double>(fleet.requestsAtNewRunners());
    const auto at_all = at_new + static_cast<double>(fleet.requestsAtRunners());
    CHECK(at_new <= kTrialShare * at_all + kTrialSlack);
    const RolloutState end = good ? RolloutState::Succeeded : RolloutState::RolledBack;
    CHECK(within(kTestTimeout, [&] { return rolloutState(fleet) == answerOf(end); }));
    callers.stop();
  }
}

TEST_CASE("Invalid rollout orders are refused, and queries without a rollout get 404") {
  TestFleet fleet(fleetWithNewRunners(18540));
  CHECK(beginRollout(fleet, "nowhere v2 4000") == http::Status::bad_request);
  CHECK(beginRollout(fleet, "s v1 4000") == http::Status::bad_request);
  CHECK(beginRollout(fleet, "s v2 0") == http::Status::bad_request);
  CHECK(fleet.operate(http::Verb::get, "/rollout/s").result() == http::Status::not_found);
  CHECK(fleet.operate(http::Verb::post, "/rollout/s").result() == http::Status::method_not_allowed);
}

} // namespace workshatch::test

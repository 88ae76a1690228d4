/// @file
/// Rollouts on a whole system: an operator's order, runners of the new version that fail or do not,
/// and what the relays send to each version.
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
/// Part of the requests that a version may get before it is judged, and the slack of that.
constexpr double kTrialShare = 0.1;
constexpr double kTrialSlack = 10;

/// Callers that ask all relays, one thread for each, until they are stopped.
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

std::string stateOf(const TestFleet& fleet) {
  return fleet.operate(http::Verb::get, "/rollout/s").body();
}

std::string answerOf(RolloutState state) { return TestDialect().rolloutStatusBody(state, "v2"); }

http::Status begin(const TestFleet& fleet, const std::string& wish) {
  return fleet.operate(http::Verb::post, "/roll-out", wish).result();
}

} // namespace

TEST_CASE("A good version gets its share, then all requests, and the former one none at the end") {
  TestFleet fleet(fleetWithNewRunners(18500));
  SteadyCallers callers(fleet);
  REQUIRE(begin(fleet, "s v2 4000") == http::Status::ok);
  CHECK(begin(fleet, "s v2 4000") == http::Status::conflict);
  CHECK(begin(fleet, "s v3 4000") == http::Status::conflict);
  fleet.startNewRunners();
  REQUIRE(within(kTestTimeout, [&] { return fleet.requestsAtNewRunners() > 0; }));
  CHECK(stateOf(fleet) == answerOf(RolloutState::Running));
  const auto share_kept = [&] {
    const auto at_new = static_cast<double>(fleet.requestsAtNewRunners());
    const auto at_all = at_new + static_cast<double>(fleet.requestsAtRunners());
    return at_new <= kTrialShare * at_all + kTrialSlack;
  };
  // The trial lasts for more than half of the duration.
  const auto trial_end = std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
  while (std::chrono::steady_clock::now() < trial_end) {
    REQUIRE(share_kept());
  }
  REQUIRE(
      within(kTestTimeout, [&] { return stateOf(fleet) == answerOf(RolloutState::Succeeded); }));
  const size_t at_former = fleet.requestsAtRunners();
  const size_t at_new = fleet.requestsAtNewRunners();
  REQUIRE(within(kTestTimeout, [&] { return fleet.requestsAtNewRunners() > at_new + 50; }));
  CHECK(fleet.requestsAtRunners() == at_former);
  callers.stop();
  CHECK(callers.failed() == 0);
  // A call whose answer was lost is acknowledged again.
  CHECK(begin(fleet, "s v2 4000") == http::Status::ok);
}

TEST_CASE("A bad version is rolled back by what relays see, and gets nothing from then on") {
  TestFleet fleet(fleetWithNewRunners(18520));
  for (size_t i = 0; i < 6; ++i) {
    fleet.newRunner(i).failOneOf(3);
  }
  SteadyCallers callers(fleet);
  REQUIRE(begin(fleet, "s v2 8000") == http::Status::ok);
  fleet.startNewRunners();
  REQUIRE(
      within(kTestTimeout, [&] { return stateOf(fleet) == answerOf(RolloutState::RolledBack); }));
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
  // Also after all processes of the system ended and started again.
  fleet.restartGroup();
  for (size_t relay = 0; relay < kRelays; ++relay) {
    fleet.restartRelay(relay);
  }
  REQUIRE(within(kTestTimeout, [&] { return fleet.requestsAtRunners() > at_former + 100; }));
  CHECK(fleet.requestsAtNewRunners() == at_new);
  CHECK(stateOf(fleet) == answerOf(RolloutState::RolledBack));
}

TEST_CASE("A leader that is lost in the middle of a rollout loses it, or its share") {
  for (const bool good : {true, false}) {
    CAPTURE(good);
    TestFleet fleet(fleetWithNewRunners(good ? 18560 : 18580));
    for (size_t i = 0; i < 6; ++i) {
      fleet.newRunner(i).failOneOf(good ? 0 : 3);
    }
    SteadyCallers callers(fleet);
    REQUIRE(begin(fleet, "s v2 6000") == http::Status::ok);
    fleet.startNewRunners();
    REQUIRE(within(kTestTimeout, [&] { return fleet.requestsAtNewRunners() > 0; }));
    fleet.restartGroup();
    const auto at_new = static_cast<double>(fleet.requestsAtNewRunners());
    const auto at_all = at_new + static_cast<double>(fleet.requestsAtRunners());
    CHECK(at_new <= kTrialShare * at_all + kTrialSlack);
    const RolloutState end = good ? RolloutState::Succeeded : RolloutState::RolledBack;
    CHECK(within(kTestTimeout, [&] { return stateOf(fleet) == answerOf(end); }));
    callers.stop();
  }
}

TEST_CASE("Orders that make no sense are refused, and a service without a rollout is told so") {
  TestFleet fleet(fleetWithNewRunners(18540));
  CHECK(begin(fleet, "nowhere v2 4000") == http::Status::bad_request);
  CHECK(begin(fleet, "s v1 4000") == http::Status::bad_request);
  CHECK(begin(fleet, "s v2 0") == http::Status::bad_request);
  CHECK(fleet.operate(http::Verb::get, "/rollout/s").result() == http::Status::not_found);
  CHECK(fleet.operate(http::Verb::post, "/rollout/s").result() == http::Status::method_not_allowed);
}

} // namespace workshatch::test

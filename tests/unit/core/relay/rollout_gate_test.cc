/// @file
/// Requests that all relays together send to a version on trial, and the versions that rollouts
/// admit.
#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/rollout_gate.h"
#include "core/relay/runner_table.h"

namespace workshatch::test {

namespace {

constexpr double kShare = 0.08;

v1::RolloutList rolloutIn(v1::RolloutPhase phase, uint64_t version = 5) {
  v1::RolloutList list;
  list.set_version(version);
  v1::Rollout& rollout = *list.add_rollouts();
  rollout.set_service("s");
  rollout.set_target_version("v2");
  rollout.set_phase(phase);
  rollout.set_id(5);
  rollout.add_former_versions("v1");
  return list;
}

/// A trial at a number of relays that each send a number of requests.
struct Trial {
  size_t relays = 0;
  size_t requests_each = 0;
  /// Number of requests after which each relay restarts; zero: never.
  size_t restart_after = 0;
};

/// @return number of requests that went to the version on trial.
size_t trialsOf(const Trial& trial, uint64_t seed) {
  std::mt19937_64 random(seed);
  size_t trials = 0;
  for (size_t relay = 0; relay < trial.relays; ++relay) {
    auto gate = std::make_unique<relay::RolloutGate>(kShare);
    gate->setRollouts(rolloutIn(v1::ROLLOUT_CANARY), random());
    for (size_t request = 1; request <= trial.requests_each; ++request) {
      trials += gate->takeTrial("s") ? 1 : 0;
      gate->recordSent("s");
      if (trial.restart_after != 0 && request % trial.restart_after == 0) {
        gate = std::make_unique<relay::RolloutGate>(kShare);
        gate->setRollouts(rolloutIn(v1::ROLLOUT_CANARY), random());
      }
    }
  }
  return trials;
}

v1::RunnerList runnersOf(const std::vector<std::string>& versions) {
  v1::RunnerList list;
  list.set_version(1);
  for (size_t i = 0; i < versions.size(); ++i) {
    v1::RunnerEntry& entry = *list.add_runners();
    entry.set_id("r" + std::to_string(i));
    entry.set_service("s");
    entry.set_slots(4);
    entry.set_version(versions[i]);
  }
  return list;
}

/// @return the version of the chosen runner; empty: none was chosen.
std::string versionChosen(relay::RunnerTable& table, bool trial, uint64_t draw = 1) {
  relay::RunnerRequest request{.service = "s", .now_ms = 10, .trial = trial};
  request.rank.draw = draw;
  const auto chosen = table.choose(request);
  const auto* choice = std::get_if<relay::RunnerChoice>(&chosen);
  return choice == nullptr ? "" : choice->runner->entry.version();
}

} // namespace

TEST_CASE("All relays together send a version on trial its share of the requests, and no more") {
  // A thousand relays send ten requests each during a rollout, so that none of them earns a whole
  // trial.
  for (const Trial& trial :
       {Trial{.relays = 1000, .requests_each = 10}, Trial{.relays = 60, .requests_each = 300},
        Trial{.relays = 3, .requests_each = 5000},
        Trial{.relays = 1000, .requests_each = 10, .restart_after = 3}}) {
    const double all = static_cast<double>(trial.relays * trial.requests_each);
    for (uint64_t seed = 0; seed < 20; ++seed) {
      const auto trials = static_cast<double>(trialsOf(trial, seed));
      CHECK(trials <= 0.1 * all + 50);
      // A relay that restarts loses the fraction of a trial that it has earned.
      CHECK(trials >= (trial.restart_after == 0 ? 0.06 : 0.03) * all - 50);
    }
  }
}

TEST_CASE("A trial whose request was not sent is used by the next request") {
  relay::RolloutGate gate(0.5);
  gate.setRollouts(rolloutIn(v1::ROLLOUT_CANARY), 0);
  CHECK_FALSE(gate.takeTrial("s"));
  gate.recordSent("s");
  gate.recordSent("s");
  REQUIRE(gate.takeTrial("s"));
  CHECK_FALSE(gate.takeTrial("s"));
  gate.returnTrial("s");
  CHECK(gate.takeTrial("s"));
  CHECK_FALSE(gate.takeTrial("other"));
  // The rollout is received again in a list with another version: earned trials are kept.
  gate.recordSent("s");
  gate.recordSent("s");
  gate.setRollouts(rolloutIn(v1::ROLLOUT_CANARY, 6), 0);
  CHECK(gate.takeTrial("s"));
  gate.setRollouts(rolloutIn(v1::ROLLOUT_ROLLED_BACK, 7), 0);
  gate.recordSent("s");
  CHECK_FALSE(gate.takeTrial("s"));
}

TEST_CASE("Requests go to the versions that the phase of the rollout admits") {
  relay::RunnerTable table(relay::RunnerTableOptions{.trial_share = kShare});
  table.setList(runnersOf({"v1", "v1", "v2", "v2", "v3"}), 0);
  struct Case {
    v1::RolloutPhase phase;
    bool trial;
    std::vector<std::string> open;
  };
  const std::vector<Case> cases = {{v1::ROLLOUT_CANARY, false, {"v1", "v3"}},
                                   {v1::ROLLOUT_CANARY, true, {"v2"}},
                                   {v1::ROLLOUT_PROMOTING, false, {"v2", "v3"}},
                                   {v1::ROLLOUT_SUCCEEDED, false, {"v2", "v3"}},
                                   {v1::ROLLOUT_ROLLED_BACK, false, {"v1", "v3"}}};
  for (const Case& expected : cases) {
    table.rollouts().setRollouts(rolloutIn(expected.phase), 0);
    for (uint64_t draw = 0; draw < 50; ++draw) {
      const std::string version = versionChosen(table, expected.trial, draw);
      CHECK(std::find(expected.open.begin(), expected.open.end(), version) != expected.open.end());
    }
  }
  table.rollouts().setRollouts(v1::RolloutList(), 0);
  CHECK_FALSE(versionChosen(table, false).empty());
}

TEST_CASE("A version on trial gets its share on few runners, which then have the usual load") {
  relay::RunnerTable table(relay::RunnerTableOptions{.trial_share = kShare});
  std::vector<std::string> versions(50, "v1");
  versions.insert(versions.end(), 50, "v2");
  table.setList(runnersOf(versions), 0);
  table.rollouts().setRollouts(rolloutIn(v1::ROLLOUT_CANARY), 0);
  std::set<std::string> used;
  for (uint64_t draw = 0; draw < 200; ++draw) {
    relay::RunnerRequest request{.service = "s", .now_ms = 10, .trial = true};
    request.rank.draw = draw * 0x9e3779b97f4a7c15U;
    const auto chosen = table.choose(request);
    used.insert(std::get<relay::RunnerChoice>(chosen).runner->entry.id());
  }
  CHECK(used.size() <= 4);
}

TEST_CASE(
    "A version that only this relay has read from the platform is used if there is no other") {
  relay::RunnerTable table(relay::RunnerTableOptions{});
  table.setList(runnersOf({"v1", "v1"}), 0);
  v1::RunnerList read_from_platform = runnersOf({"v1", "v1", "v2"});
  read_from_platform.set_version(0);
  table.setList(read_from_platform, 0);
  for (uint64_t draw = 0; draw < 50; ++draw) {
    CHECK(versionChosen(table, false, draw) == "v1");
  }
  v1::RunnerList only_new = runnersOf({"v2", "v2"});
  only_new.set_version(0);
  table.setList(only_new, 0);
  CHECK(versionChosen(table, false) == "v2");
  table.setList(runnersOf({"v1", "v2"}), 0);
  CHECK_FALSE(versionChosen(table, false).empty());
}

} // namespace workshatch::test

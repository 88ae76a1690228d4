/// @file
/// Regression test for a version that fails only under load and passed its trial: the runners on
/// trial must have the usual load, so that the analysis detects the fault before all requests go
/// there.
#include <cmath>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/rollout_analysis.h"
#include "core/relay/rollout_outcomes.h"
#include "core/relay/runner_table.h"

namespace workshatch::test {

namespace {

constexpr double kTrialShare = 0.08;
constexpr size_t kRunnersPerVersion = 50;
constexpr int64_t kDurationMs = 12'000;
constexpr int64_t kStepMs = 100;
constexpr int kRequestsInStep = 250;
/// Load from which the target version fails. A request lasts one step; a runner of the former
/// version has five at a time.
constexpr uint32_t kHarmfulLoad = 4;
constexpr double kUsualFailures = 0.14;
constexpr double kFailuresUnderLoad = 0.5;

v1::Rollout rolloutOnTrial() {
  v1::Rollout rollout;
  rollout.set_service("s");
  rollout.set_target_version("v2");
  rollout.set_phase(v1::ROLLOUT_CANARY);
  rollout.set_duration_ms(kDurationMs);
  rollout.set_id(7);
  rollout.add_former_versions("v1");
  return rollout;
}

/// One relay that sends all requests, its runners, and the analysis of its outcomes.
class TrialUnderLoad {
public:
  /// @param harmed_by_load the target version fails more often while a runner has many requests
  TrialUnderLoad(bool harmed_by_load, uint64_t seed)
      : harmed_by_load_(harmed_by_load), random_(seed) {
    v1::RunnerList list;
    list.set_version(1);
    for (size_t i = 0; i < 2 * kRunnersPerVersion; ++i) {
      v1::RunnerEntry& entry = *list.add_runners();
      entry.set_id("r" + std::to_string(100 + i));
      entry.set_service("s");
      entry.set_slots(64);
      entry.set_version(i < kRunnersPerVersion ? "v1" : "v2");
    }
    table_.setList(list, 0);
    v1::RolloutList rollouts;
    rollouts.set_version(1);
    *rollouts.add_rollouts() = rolloutOnTrial();
    table_.rollouts().setRollouts(rollouts, 0);
  }

  /// @return the first decision; empty: there was none in time.
  std::optional<v1::RolloutPhase> run() {
    relay::RolloutAnalysis analysis(rolloutOnTrial(), 0, 0);
    for (int64_t now_ms = kStepMs; now_ms <= kDurationMs; now_ms += kStepMs) {
      runStep(now_ms);
      v1::RolloutReport report;
      report.set_rollout(rolloutOnTrial().id());
      outcomes_.fill(report);
      analysis.addReport("relay", 1, report, now_ms);
      const auto phase = analysis.decide(
          v1::ROLLOUT_CANARY,
          relay::RolloutConditions{
              .now_ms = now_ms, .target_slots = 8, .former_slots = 8, .all_relays_reported = true});
      if (phase) {
        return phase;
      }
    }
    return std::nullopt;
  }

private:
  /// Starts all requests of a step, then ends them.
  void runStep(int64_t now_ms) {
    std::vector<std::shared_ptr<relay::Runner>> running;
    for (int i = 0; i < kRequestsInStep; ++i) {
      relay::RunnerRequest request{
          .service = "s", .now_ms = now_ms, .trial = table_.rollouts().takeTrial("s")};
      request.rank.draw = random_();
      const auto chosen = table_.choose(request);
      const auto* choice = std::get_if<relay::RunnerChoice>(&chosen);
      REQUIRE(choice != nullptr);
      table_.rollouts().recordSent("s");
      table_.beginAttempt(*choice->runner, now_ms);
      running.push_back(choice->runner);
    }
    for (const auto& runner : running) {
      recordOutcome(*runner);
    }
    for (const auto& runner : running) {
      table_.endAttempt(*runner, relay::AttemptOutcome::Succeeded, now_ms);
    }
  }

  void recordOutcome(const relay::Runner& runner) {
    const bool target = runner.entry.version() == "v2";
    const bool harmed = target && harmed_by_load_ && runner.in_progress >= kHarmfulLoad;
    const bool failed =
        std::bernoulli_distribution(harmed ? kFailuresUnderLoad : kUsualFailures)(random_);
    outcomes_.record(rolloutOnTrial().id(), relay::VersionOutcome{.route = "route",
                                                                  .runner = runner.fingerprint,
                                                                  .target = target,
                                                                  .failed = failed});
  }

  const bool harmed_by_load_;
  std::mt19937_64 random_;
  relay::RunnerTable table_{relay::RunnerTableOptions{.trial_share = kTrialShare}};
  relay::RolloutOutcomes outcomes_;
};

} // namespace

TEST_CASE("A version that fails only under load passes its trial") {
  constexpr uint64_t kSeeds = 20;
  size_t harmed_rolled_back = 0;
  size_t sound_promoted = 0;
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    harmed_rolled_back += TrialUnderLoad(true, seed).run() == v1::ROLLOUT_ROLLED_BACK ? 1 : 0;
    sound_promoted += TrialUnderLoad(false, seed).run() == v1::ROLLOUT_PROMOTING ? 1 : 0;
  }
  CHECK(harmed_rolled_back == kSeeds);
  CHECK(sound_promoted == kSeeds);
}

} // namespace workshatch::test

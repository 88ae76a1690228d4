/// @file
/// Simulated rollouts: responses of a former and of a target version whose faults appear at once,
/// later, on one route, or as slowness, while some responses fail at any version.
#include <cmath>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/rollout_analysis.h"
#include "core/relay/rollout_outcomes.h"

namespace workshatch::test {

namespace {

constexpr int64_t kDurationMs = 12'000;
constexpr int64_t kStepMs = 100;
constexpr size_t kRoutes = 4;
/// Runners that the target version has in use.
constexpr size_t kTrialRunners = 4;
/// Time after which all relays have reported to a new leader.
constexpr int64_t kRelaysReportedMs = 1000;
/// Fraction of the responses that fail at runners of any version.
constexpr double kUsualFailures = 0.14;

/// A version on trial, and its faults compared with the former version.
struct Version {
  /// Fraction of its responses that fail, the only route on which they do, and the time from which
  /// on they do.
  double failures = kUsualFailures;
  std::optional<size_t> only_route;
  int64_t from_ms = 0;
  /// Fraction of its responses that are slow, and the factor on their times.
  double slow_fraction = 0;
  double slow_times = 4;
  /// Factor on the times of both versions.
  double time_scale = 1;
  /// Requests to both versions in a step, on all routes.
  int requests_in_step = 250;
  /// Period of the relays' reports as the leader knows it, in milliseconds.
  int64_t report_period_ms = 0;
  /// Time at which another leader takes over; zero: never.
  int64_t leader_lost_ms = 0;
  /// Factor on the times to the first part of a response, because a new runner has no prompts
  /// cached.
  double first_times_longer = 1;
};

struct Decision {
  v1::RolloutPhase phase = v1::ROLLOUT_CANARY;
  int64_t at_ms = 0;
  uint64_t bad_answers = 0;
};

/// Simulates one rollout up to its first decision.
class RolloutSimulation {
public:
  RolloutSimulation(const Version& version, uint64_t seed) : version_(version), random_(seed) {
    rollout_.set_service("s");
    rollout_.set_duration_ms(kDurationMs);
    rollout_.set_id(7);
  }

  Decision run() {
    std::optional<relay::RolloutAnalysis> analysis;
    analysis.emplace(rollout_, 0, 0);
    int64_t leads_since_ms = 0;
    for (int64_t now_ms = kStepMs; now_ms <= kDurationMs; now_ms += kStepMs) {
      answerRequests(now_ms);
      if (now_ms == version_.leader_lost_ms) {
        analysis.emplace(rollout_, now_ms, now_ms);
        leads_since_ms = now_ms;
      }
      const bool all_relays_reported =
          leads_since_ms == 0 || now_ms - leads_since_ms >= kRelaysReportedMs;
      v1::RolloutReport report;
      report.set_rollout(rollout_.id());
      outcomes_.fill(report);
      analysis->addReport("relay", 1, report, now_ms);
      const auto phase =
          analysis->decide(v1::ROLLOUT_CANARY,
                           relay::RolloutConditions{.now_ms = now_ms,
                                                    .report_period_ms = version_.report_period_ms,
                                                    .target_slots = 8,
                                                    .former_slots = 8,
                                                    .all_relays_reported = all_relays_reported});
      if (phase) {
        return Decision{.phase = *phase, .at_ms = now_ms, .bad_answers = bad_answers_};
      }
    }
    return Decision{.at_ms = kDurationMs};
  }

private:
  void answerRequests(int64_t now_ms) {
    for (int i = 0; i < version_.requests_in_step; ++i) {
      const bool target = std::bernoulli_distribution(0.08)(random_);
      const size_t route = std::uniform_int_distribution<size_t>(0, kRoutes - 1)(random_);
      const bool worse =
          target && now_ms >= version_.from_ms && version_.only_route.value_or(route) == route;
      const bool failed =
          std::bernoulli_distribution(worse ? version_.failures : kUsualFailures)(random_);
      relay::VersionOutcome outcome{.route = "route-" + std::to_string(route),
                                    .runner = static_cast<uint64_t>(i) % kTrialRunners,
                                    .target = target,
                                    .failed = failed};
      if (!failed) {
        const bool slow = worse && std::bernoulli_distribution(version_.slow_fraction)(random_);
        const double times = version_.time_scale * (slow ? version_.slow_times : 1);
        std::lognormal_distribution<double> spread(0, 0.4);
        outcome.step_ms = 20 * times * spread(random_);
        outcome.first_ms =
            80 * times * spread(random_) * (target ? version_.first_times_longer : 1);
      }
      bad_answers_ += worse && failed ? 1 : 0;
      outcomes_.record(rollout_.id(), outcome);
    }
  }

  const Version version_;
  std::mt19937_64 random_;
  v1::Rollout rollout_;
  relay::RolloutOutcomes outcomes_;
  uint64_t bad_answers_ = 0;
};

struct Tally {
  size_t rolled_back = 0;
  size_t promoted = 0;
};

Tally tallyOf(const Version& version, uint64_t seeds) {
  Tally tally;
  for (uint64_t seed = 0; seed < seeds; ++seed) {
    const Decision decision = RolloutSimulation(version, seed).run();
    tally.rolled_back += decision.phase == v1::ROLLOUT_ROLLED_BACK ? 1 : 0;
    tally.promoted += decision.phase == v1::ROLLOUT_PROMOTING ? 1 : 0;
  }
  return tally;
}

} // namespace

TEST_CASE("A good version whose responses fail as often as the former one's is promoted") {
  CHECK(tallyOf(Version{.requests_in_step = 60}, 1000).promoted == 1000);
}

TEST_CASE("A good version with few requests, or without cached prompts, is promoted") {
  CHECK(tallyOf(Version{.requests_in_step = 10}, 300).promoted == 300);
  CHECK(tallyOf(Version{.first_times_longer = 2}, 100).promoted == 100);
}

TEST_CASE("A version that fails slightly more often is rolled back if there are enough requests") {
  CHECK(tallyOf(Version{.failures = 0.2, .requests_in_step = 500}, 100).rolled_back >= 99);
}

TEST_CASE("A version with faults in addition to the usual failures is rolled back") {
  const double failures = 1 - (1 - kUsualFailures) * (1 - 0.2);
  CHECK(tallyOf(Version{.failures = failures}, 200).rolled_back >= 198);
}

TEST_CASE("A version that fails later, or on one route only, is rolled back") {
  CHECK(tallyOf(Version{.failures = 0.5, .from_ms = 5000}, 100).rolled_back >= 99);
  CHECK(tallyOf(Version{.failures = 0.5, .only_route = 2}, 100).rolled_back >= 99);
}

TEST_CASE("A version that is slow for all or for some responses is rolled back") {
  CHECK(tallyOf(Version{.slow_fraction = 1}, 50).rolled_back == 50);
  CHECK(tallyOf(Version{.slow_fraction = 0.2}, 100).rolled_back >= 99);
}

TEST_CASE("A version that turns slow is promoted in a large fleet, whose relays report rarely") {
  for (const int64_t period_ms : {300, 900, 1200}) {
    CAPTURE(period_ms);
    const Version slow{.from_ms = 5000, .slow_fraction = 0.5, .report_period_ms = period_ms};
    CHECK(tallyOf(slow, 50).rolled_back == 50);
    CHECK(tallyOf(Version{.report_period_ms = period_ms}, 50).promoted == 50);
  }
}

TEST_CASE("A version is rolled back because of delays too short to matter to callers") {
  CHECK(tallyOf(Version{.slow_fraction = 0.2, .time_scale = 0.02}, 100).promoted == 100);
}

TEST_CASE("A change of the leader during a rollout loses the evidence") {
  for (const int64_t lost_ms : {500, 3000, 6000}) {
    CAPTURE(lost_ms);
    const Version good{.requests_in_step = 60, .leader_lost_ms = lost_ms};
    CHECK(tallyOf(good, 200).promoted == 200);
    const Version bad{.failures = 0.5, .from_ms = 2000, .leader_lost_ms = lost_ms};
    CHECK(tallyOf(bad, 100).rolled_back >= 99);
  }
}

TEST_CASE(
    "A version that fails half of its requests is rolled back after at most 50 bad responses") {
  for (uint64_t seed = 0; seed < 100; ++seed) {
    const Decision decision = RolloutSimulation(Version{.failures = 0.5}, seed).run();
    CHECK(decision.phase == v1::ROLLOUT_ROLLED_BACK);
    CHECK(decision.bad_answers <= 50);
  }
}

TEST_CASE(
    "A version that can't be judged in time is rolled back, but not before all relays reported") {
  const auto last_phase = [](const relay::RolloutConditions& rest) {
    v1::Rollout rollout;
    rollout.set_duration_ms(kDurationMs);
    relay::RolloutAnalysis analysis(rollout, 0, 0);
    std::optional<v1::RolloutPhase> phase;
    for (int64_t now_ms = 0; now_ms <= kDurationMs && !phase; now_ms += kStepMs) {
      relay::RolloutConditions conditions = rest;
      conditions.now_ms = now_ms;
      phase = analysis.decide(v1::ROLLOUT_CANARY, conditions);
    }
    return phase;
  };
  CHECK(last_phase({.all_relays_reported = true}) == v1::ROLLOUT_ROLLED_BACK);
  CHECK(last_phase({.all_relays_reported = false}) == std::nullopt);
}

TEST_CASE("A version succeeds once the former one has no requests, and can still be rolled back") {
  v1::Rollout rollout;
  rollout.set_duration_ms(kDurationMs);
  relay::RolloutAnalysis analysis(rollout, 0, 0);
  CHECK(analysis.decide(v1::ROLLOUT_PROMOTING, {.now_ms = 9000, .all_relays_reported = true}) ==
        std::nullopt);
  CHECK(analysis.decide(v1::ROLLOUT_PROMOTING,
                        {.now_ms = 9000, .all_relays_reported = true, .former_idle = true}) ==
        v1::ROLLOUT_SUCCEEDED);
  relay::RolloutOutcomes outcomes;
  for (int i = 0; i < 200; ++i) {
    const uint64_t runner = static_cast<uint64_t>(i) / 4 % kTrialRunners;
    outcomes.record(7,
                    {.route = "r", .runner = runner, .target = i % 2 == 0, .failed = i % 4 == 0});
  }
  v1::RolloutReport report;
  report.set_rollout(7);
  outcomes.fill(report);
  analysis.addReport("relay", 1, report, 9000);
  CHECK(analysis.decide(v1::ROLLOUT_PROMOTING,
                        {.now_ms = 9100, .all_relays_reported = true, .former_idle = true}) ==
        v1::ROLLOUT_ROLLED_BACK);
}

TEST_CASE("A relay's report is counted once, and reports of its earlier process remain counted") {
  v1::Rollout rollout;
  rollout.set_duration_ms(kDurationMs);
  relay::RolloutAnalysis analysis(rollout, 0, 0);
  const auto reportOf = [](int answers) {
    relay::RolloutOutcomes outcomes;
    for (int i = 0; i < answers; ++i) {
      outcomes.record(7, {.route = "r", .target = true});
    }
    v1::RolloutReport report;
    report.set_rollout(7);
    outcomes.fill(report);
    return report;
  };
  analysis.addReport("a", 1, reportOf(5), 10);
  analysis.addReport("a", 1, reportOf(5), 20);
  analysis.addReport("a", 1, reportOf(8), 30);
  analysis.addReport("b", 1, reportOf(1), 30);
  CHECK(analysis.outcomes().totalOf(true).ended == 9);
  analysis.addReport("a", 2, reportOf(2), 40);
  CHECK(analysis.outcomes().totalOf(true).ended == 11);
}

} // namespace workshatch::test

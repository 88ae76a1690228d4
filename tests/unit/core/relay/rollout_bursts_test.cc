/// @file
/// Simulated rollouts of good versions whose bad responses come in bursts: processes that pause, so
/// that all requests in progress there are slow together, and processes at which all requests fail
/// for a short time.
#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/rollout_analysis.h"
#include "core/relay/rollout_outcomes.h"

namespace workshatch::test {

namespace {

constexpr uint64_t kRollout = 7;
constexpr int64_t kDurationMs = 12'000;
constexpr int64_t kReportPeriodMs = 100;
constexpr double kTrialShare = 0.08;
/// Time of a response without a burst: median, and standard deviation of its logarithm.
constexpr double kMedianMs = 20;
constexpr double kTimeSpread = 0.4;

enum class BurstKind { Pause, Failures };
enum class BurstScope { OneProcess, AllProcesses };

/// The processes of a fleet, and the bursts that hit both of its versions alike.
struct BurstyFleet {
  size_t relays = 6;
  /// Runners of the former version, and those that the target version has in use. The mean load of
  /// a runner is the same at both.
  size_t former_runners = 12;
  size_t target_runners = 1;
  double requests_per_ms = 0.6;
  BurstKind kind = BurstKind::Pause;
  BurstScope scope = BurstScope::OneProcess;
  /// Bursts per second in the whole fleet, drawn for each rollout between zero and this.
  double max_bursts_per_s = 5;
};

struct Burst {
  size_t process = 0;
  double from_ms = 0;
  double to_ms = 0;
};

/// A request, and when its outcome is known at its relay.
struct Response {
  double ended_ms = 0;
  size_t relay = 0;
  relay::VersionOutcome outcome;
};

/// Simulates one rollout of a good version up to its first decision. Processes are numbered: relays
/// first, then runners of the former version, then those of the target version.
class BurstyRollout {
public:
  BurstyRollout(const BurstyFleet& fleet, uint64_t seed) : fleet_(fleet), random_(seed) {
    drawBursts();
    answerRequests();
  }

  v1::RolloutPhase run() {
    v1::Rollout rollout;
    rollout.set_duration_ms(kDurationMs);
    rollout.set_id(kRollout);
    relay::RolloutAnalysis analysis(rollout, 0, 0);
    std::vector<relay::RolloutOutcomes> relays(fleet_.relays);
    size_t recorded = 0;
    for (int64_t now_ms = kReportPeriodMs; now_ms <= kDurationMs; now_ms += kReportPeriodMs) {
      for (; recorded < responses_.size() &&
             responses_[recorded].ended_ms <= static_cast<double>(now_ms);
           ++recorded) {
        relays[responses_[recorded].relay].record(kRollout, responses_[recorded].outcome);
      }
      reportAll(relays, analysis, now_ms);
      const auto phase = analysis.decide(
          v1::ROLLOUT_CANARY,
          {.now_ms = now_ms, .target_slots = 8, .former_slots = 8, .all_relays_reported = true});
      if (phase) {
        return *phase;
      }
    }
    return v1::ROLLOUT_CANARY;
  }

private:
  size_t processes() const { return fleet_.relays + fleet_.former_runners + fleet_.target_runners; }

  void drawBursts() {
    const double rate =
        std::uniform_real_distribution<double>(0, fleet_.max_bursts_per_s)(random_) / 1000;
    std::exponential_distribution<double> interval(rate);
    bursts_.resize(processes());
    for (double at_ms = interval(random_); at_ms < kDurationMs; at_ms += interval(random_)) {
      const double duration_ms = std::uniform_real_distribution<double>(20, 400)(random_);
      const size_t one = std::uniform_int_distribution<size_t>(0, processes() - 1)(random_);
      for (size_t process = 0; process < processes(); ++process) {
        if (fleet_.scope == BurstScope::AllProcesses || process == one) {
          bursts_[process].push_back({process, at_ms, at_ms + duration_ms});
        }
      }
    }
  }

  void answerRequests() {
    std::exponential_distribution<double> interval(fleet_.requests_per_ms);
    std::uniform_int_distribution<size_t> relay(0, fleet_.relays - 1);
    for (double at_ms = interval(random_); at_ms < kDurationMs; at_ms += interval(random_)) {
      const bool target = std::bernoulli_distribution(kTrialShare)(random_);
      const size_t runners = target ? fleet_.target_runners : fleet_.former_runners;
      const size_t number = std::uniform_int_distribution<size_t>(0, runners - 1)(random_);
      const size_t runner = fleet_.relays + (target ? fleet_.former_runners : 0) + number;
      Response response{.relay = relay(random_),
                        .outcome = {.route = "r", .runner = runner, .target = target}};
      if (fleet_.kind == BurstKind::Pause) {
        answerLate(response, runner, at_ms);
      } else {
        answerOrFail(response, runner, at_ms);
      }
      responses_.push_back(std::move(response));
    }
    std::sort(responses_.begin(), responses_.end(),
              [](const Response& a, const Response& b) { return a.ended_ms < b.ended_ms; });
  }

  double drawTimeMs() {
    return kMedianMs * std::lognormal_distribution<double>(0, kTimeSpread)(random_);
  }

  /// A pause of the runner delays its work, a pause of the relay delays sending and receiving.
  void answerLate(Response& response, size_t runner, double at_ms) {
    const double sent_ms = afterBursts(response.relay, at_ms);
    double ended_ms = sent_ms + drawTimeMs();
    for (const Burst& pause : bursts_[runner]) {
      if (pause.from_ms < ended_ms && pause.to_ms > sent_ms) {
        ended_ms += pause.to_ms - std::max(pause.from_ms, sent_ms);
      }
    }
    response.ended_ms = afterBursts(response.relay, ended_ms);
    response.outcome.step_ms = response.ended_ms - sent_ms;
  }

  /// Requests in progress at a process fail when its burst begins, and those of the burst at once.
  void answerOrFail(Response& response, size_t runner, double at_ms) {
    const double time_ms = drawTimeMs();
    response.ended_ms = at_ms + time_ms;
    for (const size_t process : {response.relay, runner}) {
      for (const Burst& burst : bursts_[process]) {
        if (burst.from_ms < response.ended_ms && burst.to_ms > at_ms) {
          response.outcome.failed = true;
          response.ended_ms = std::max(burst.from_ms, at_ms) + 1;
        }
      }
    }
    if (!response.outcome.failed) {
      response.outcome.step_ms = time_ms;
    }
  }

  /// @return the given time, or the end of the bursts of a process that cover it.
  double afterBursts(size_t process, double at_ms) const {
    for (const Burst& burst : bursts_[process]) {
      if (burst.from_ms <= at_ms && at_ms < burst.to_ms) {
        at_ms = burst.to_ms;
      }
    }
    return at_ms;
  }

  /// A relay that pauses does not report.
  void reportAll(const std::vector<relay::RolloutOutcomes>& relays,
                 relay::RolloutAnalysis& analysis, int64_t now_ms) const {
    for (size_t relay = 0; relay < relays.size(); ++relay) {
      const auto time_ms = static_cast<double>(now_ms);
      if (fleet_.kind == BurstKind::Pause && afterBursts(relay, time_ms) > time_ms) {
        continue;
      }
      v1::RolloutReport report;
      report.set_rollout(kRollout);
      relays[relay].fill(report);
      analysis.addReport("relay-" + std::to_string(relay), 1, report, now_ms);
    }
  }

  const BurstyFleet fleet_;
  std::mt19937_64 random_;
  /// By process, in the order of their begin.
  std::vector<std::vector<Burst>> bursts_;
  /// In the order of their end.
  std::vector<Response> responses_;
};

/// @return the number of rollouts, out of this many, that end with a rollback.
size_t rolledBack(const BurstyFleet& fleet, uint64_t seeds) {
  size_t rolled_back = 0;
  for (uint64_t seed = 0; seed < seeds; ++seed) {
    rolled_back += BurstyRollout(fleet, seed).run() != v1::ROLLOUT_PROMOTING ? 1 : 0;
  }
  return rolled_back;
}

} // namespace

TEST_CASE("A good version is rolled back because processes pause") {
  CHECK(rolledBack(BurstyFleet{}, 1000) <= 1);
  CHECK(rolledBack(BurstyFleet{.scope = BurstScope::AllProcesses}, 200) <= 1);
}

TEST_CASE("A good version of several runners is rolled back because of bursts") {
  BurstyFleet fleet{.relays = 20, .former_runners = 46, .target_runners = 4, .requests_per_ms = 2};
  CHECK(rolledBack(fleet, 300) <= 1);
  fleet.kind = BurstKind::Failures;
  CHECK(rolledBack(fleet, 300) <= 1);
}

TEST_CASE("A good version is rolled back because of failures in bursts") {
  CHECK(rolledBack(BurstyFleet{.kind = BurstKind::Failures}, 1000) <= 1);
  const BurstyFleet everywhere{.kind = BurstKind::Failures, .scope = BurstScope::AllProcesses};
  CHECK(rolledBack(everywhere, 1000) <= 1);
}

} // namespace workshatch::test

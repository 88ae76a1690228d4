#include "core/relay/rollout_analysis.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace workshatch::relay {

namespace {

/// Strength of evidence, in standard deviations, from which a version is rolled back. A version as
/// good as the former one reaches it in less than one of three million evaluations; a rollout has
/// some thousand for each route and time window, most of which share their outcomes.
constexpr double kStrongEvidence = 5;
/// Strength of evidence from which a version is not promoted at the end of its trial, where a
/// single evaluation decides.
constexpr double kEvidenceAgainstPromotion = 4.2;
/// Fraction of the rollout's duration after which a version without evidence against it is
/// promoted. The rest is left for the former versions to finish their requests.
constexpr double kTrialFraction = 0.6;
/// Fraction of the duration after which a version that could not be judged is rolled back.
constexpr double kDecisionDeadlineFraction = 0.85;
/// Minimum number of responses of the target version for a promotion.
constexpr uint64_t kMinResponses = 40;
/// Minimum slots of the target version for a promotion, as a fraction of the former versions'
/// slots.
constexpr double kMinSlotsFraction = 0.5;
/// Outcomes are also compared over these most recent time windows, to detect a version that turns
/// bad later. A window with too few clusters, such as the first one, gives
/// evidence from groups of runners only.
constexpr int64_t kWindowsMs[] = {1000, 2000, 4000};
constexpr int64_t kLongestWindowMs = 4000;
/// Length of the intervals by which outcomes are kept.
constexpr int64_t kIntervalMs = 250;
/// Maximum numbers of intervals kept: for the longest window, and for the whole rollout. Intervals
/// of the latter become longer as the rollout goes on.
constexpr size_t kRecentIntervals = kLongestWindowMs / kIntervalMs;
constexpr size_t kWholeIntervals = 32;

} // namespace

RolloutAnalysis::RolloutAnalysis(const v1::Rollout& rollout, int64_t elapsed_ms, int64_t now_ms)
    : duration_ms_(rollout.duration_ms()), started_ms_(now_ms - elapsed_ms),
      recent_(kIntervalMs, kRecentIntervals, OutcomeIntervals::Overflow::DropOldest),
      whole_(kIntervalMs, kWholeIntervals, OutcomeIntervals::Overflow::Merge) {}

void RolloutAnalysis::addReport(const std::string& relay, uint64_t incarnation,
                                const v1::RolloutReport& report, int64_t now_ms) {
  RelayReport& last = last_reports_[relay];
  if (last.incarnation != incarnation) {
    last = RelayReport{.incarnation = incarnation, .report = {}};
  }
  VersionComparison added;
  for (const v1::VersionOutcomes& outcomes : report.outcomes()) {
    const auto& before = last.report.outcomes();
    const auto known =
        std::find_if(before.begin(), before.end(), [&](const v1::VersionOutcomes& candidate) {
          return candidate.route() == outcomes.route() && candidate.target() == outcomes.target();
        });
    const OutcomeCounts counted = known == before.end() ? OutcomeCounts() : countsOf(*known);
    added.add(outcomes.route(), outcomes.target(), countsOf(outcomes).since(counted));
  }
  add(added, runnerGroupCountsOf(report).since(runnerGroupCountsOf(last.report)), now_ms);
  last.report = report;
}

void RolloutAnalysis::add(const VersionComparison& outcomes, const RunnerGroupCounts& groups,
                          int64_t now_ms) {
  outcomes_ += outcomes;
  for (OutcomeIntervals* intervals : {&recent_, &whole_}) {
    OutcomeInterval& interval = intervals->at(now_ms);
    interval.outcomes += outcomes;
    interval.target_groups += groups;
  }
}

size_t RolloutAnalysis::relaysWithTarget() const {
  return static_cast<size_t>(
      std::count_if(last_reports_.begin(), last_reports_.end(),
                    [](const auto& entry) { return entry.second.report.target_ended_size() > 0; }));
}

/// Finds the strongest evidence over the whole rollout and over the most recent windows.
void RolloutAnalysis::evaluate(const RolloutConditions& conditions) {
  evidence_ = {};
  const auto consider = [&](const OutcomeIntervals& intervals, int64_t from_ms) {
    OutcomeWindow window;
    for (const OutcomeInterval& interval : intervals.list()) {
      if (interval.from_ms >= from_ms) {
        window.push_back(&interval);
      }
    }
    const RolloutEvidence found = strongestEvidence(window, conditions.report_period_ms);
    evidence_ = evidence_.evidence.strength < found.evidence.strength ? found : evidence_;
  };
  consider(whole_, std::numeric_limits<int64_t>::min());
  for (const int64_t window_ms : kWindowsMs) {
    consider(recent_, conditions.now_ms - window_ms);
  }
}

std::optional<v1::RolloutPhase>
RolloutAnalysis::evaluateTrial(const RolloutConditions& conditions) const {
  const auto duration = static_cast<double>(duration_ms_);
  const auto elapsed = static_cast<double>(elapsedMs(conditions.now_ms));
  if (elapsed < kTrialFraction * duration) {
    return std::nullopt;
  }
  const bool enough_slots = static_cast<double>(conditions.target_slots) >=
                            kMinSlotsFraction * static_cast<double>(conditions.former_slots);
  const bool enough_responses = outcomes_.totalOf(true).ended >= kMinResponses;
  if (enough_slots && enough_responses && evidence_.evidence.strength < kEvidenceAgainstPromotion) {
    return v1::ROLLOUT_PROMOTING;
  }
  return elapsed < kDecisionDeadlineFraction * duration ? std::nullopt
                                                        : std::optional(v1::ROLLOUT_ROLLED_BACK);
}

std::optional<v1::RolloutPhase> RolloutAnalysis::decide(v1::RolloutPhase phase,
                                                        const RolloutConditions& conditions) {
  evaluate(conditions);
  if (evidence_.evidence.strength >= kStrongEvidence) {
    return v1::ROLLOUT_ROLLED_BACK;
  }
  if (!conditions.all_relays_reported) {
    return std::nullopt;
  }
  if (phase == v1::ROLLOUT_CANARY) {
    return evaluateTrial(conditions);
  }
  return conditions.former_idle ? std::optional(v1::ROLLOUT_SUCCEEDED) : std::nullopt;
}

} // namespace workshatch::relay

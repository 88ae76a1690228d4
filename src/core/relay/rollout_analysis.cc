#include "core/relay/rollout_analysis.h"

#include <algorithm>
#include <utility>

namespace workshatch::relay {

namespace {

/// Strength of evidence, in standard deviations, from which a version is rolled back. A version as
/// good as the former one reaches it in less than one of ten million evaluations; a rollout has
/// some thousand for each route and time window.
constexpr double kStrongEvidence = 5.5;
/// Strength of evidence from which a version is not promoted at the end of its trial, where a
/// single evaluation decides.
constexpr double kEvidenceAgainstPromotion = 4.5;
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
/// bad later.
constexpr int64_t kWindowsMs[] = {2000, 4000};
constexpr int64_t kLongestWindowMs = 4000;
constexpr int64_t kSnapshotIntervalMs = 250;

} // namespace

void RolloutAnalysis::addReport(const std::string& relay, uint64_t incarnation,
                                const v1::RolloutReport& report, int64_t now_ms) {
  takeSnapshot(now_ms);
  RelayReport& last = last_reports_[relay];
  if (last.incarnation != incarnation) {
    last = RelayReport{.incarnation = incarnation, .report = {}};
  }
  for (const v1::VersionOutcomes& outcomes : report.outcomes()) {
    const auto& before = last.report.outcomes();
    const auto known =
        std::find_if(before.begin(), before.end(), [&](const v1::VersionOutcomes& candidate) {
          return candidate.route() == outcomes.route() && candidate.target() == outcomes.target();
        });
    const OutcomeCounts counted = known == before.end() ? OutcomeCounts() : countsOf(*known);
    outcomes_.add(outcomes.route(), outcomes.target(), countsOf(outcomes).since(counted));
  }
  last.report = report;
}

void RolloutAnalysis::takeSnapshot(int64_t now_ms) {
  if (!snapshots_.empty() && now_ms - snapshots_.back().at_ms < kSnapshotIntervalMs) {
    return;
  }
  snapshots_.push_back(Snapshot{.at_ms = now_ms, .outcomes = outcomes_});
  while (snapshots_.size() > 1 && snapshots_[1].at_ms <= now_ms - kLongestWindowMs) {
    snapshots_.pop_front();
  }
}

Evidence RolloutAnalysis::strongestEvidence() const {
  Evidence strongest = outcomes_.strongest();
  if (snapshots_.empty()) {
    return strongest;
  }
  for (const int64_t window_ms : kWindowsMs) {
    const int64_t from_ms = snapshots_.back().at_ms - window_ms;
    const auto snapshot =
        std::find_if(snapshots_.begin(), snapshots_.end(),
                     [&](const Snapshot& candidate) { return candidate.at_ms >= from_ms; });
    const Evidence recent = outcomes_.since(snapshot->outcomes).strongest();
    strongest = strongest.strength < recent.strength ? recent : strongest;
  }
  return strongest;
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
  if (enough_slots && enough_responses && evidence_.strength < kEvidenceAgainstPromotion) {
    return v1::ROLLOUT_PROMOTING;
  }
  return elapsed < kDecisionDeadlineFraction * duration ? std::nullopt
                                                        : std::optional(v1::ROLLOUT_ROLLED_BACK);
}

std::optional<v1::RolloutPhase> RolloutAnalysis::decide(v1::RolloutPhase phase,
                                                        const RolloutConditions& conditions) {
  evidence_ = strongestEvidence();
  if (evidence_.strength >= kStrongEvidence) {
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

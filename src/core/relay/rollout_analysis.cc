#include "core/relay/rollout_analysis.h"

#include <algorithm>
#include <utility>

namespace workshatch::relay {

namespace {

/// Standard deviations that speak against a version which is as good as the former one in less than
/// one of ten million looks; a rollout has some thousand, at each route and span.
constexpr double kStrongEvidence = 5.5;
/// At the end of the trial, when one look decides.
constexpr double kEvidenceAgainstPromotion = 4.5;
/// Part of the duration after which a version without evidence against it is promoted; the rest is
/// left for the former versions to finish what they have.
constexpr double kTrialFraction = 0.6;
/// Part after which a version that could not be judged is rolled back.
constexpr double kDecisionDeadlineFraction = 0.85;
/// Answers of the target version on which a promotion rests at least.
constexpr uint64_t kMinResponses = 40;
/// Part of the former versions' places that the target version must have to take all requests.
constexpr double kMinSlotsFraction = 0.5;
/// Outcomes are also compared over these last spans, for a version that turns bad later.
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
    const auto snapshot = std::find_if(snapshots_.begin(), snapshots_.end(),
                                       [&](const Snapshot& held) { return held.at_ms >= from_ms; });
    const Evidence recent = outcomes_.since(snapshot->outcomes).strongest();
    strongest = strongest.strength < recent.strength ? recent : strongest;
  }
  return strongest;
}

std::optional<v1::RolloutPhase>
RolloutAnalysis::evaluateTrial(const RolloutConditions& situation) const {
  const auto duration = static_cast<double>(duration_ms_);
  const auto elapsed = static_cast<double>(elapsedMs(situation.now_ms));
  if (elapsed < kTrialFraction * duration) {
    return std::nullopt;
  }
  const bool enough_slots = static_cast<double>(situation.target_slots) >=
                            kMinSlotsFraction * static_cast<double>(situation.former_slots);
  const bool enough_responses = outcomes_.totalOf(true).ended >= kMinResponses;
  if (enough_slots && enough_responses && evidence_.strength < kEvidenceAgainstPromotion) {
    return v1::ROLLOUT_PROMOTING;
  }
  return elapsed < kDecisionDeadlineFraction * duration ? std::nullopt
                                                        : std::optional(v1::ROLLOUT_ROLLED_BACK);
}

std::optional<v1::RolloutPhase> RolloutAnalysis::decide(v1::RolloutPhase phase,
                                                        const RolloutConditions& situation) {
  evidence_ = strongestEvidence();
  if (evidence_.strength >= kStrongEvidence) {
    return v1::ROLLOUT_ROLLED_BACK;
  }
  if (!situation.all_relays_reported) {
    return std::nullopt;
  }
  if (phase == v1::ROLLOUT_CANARY) {
    return evaluateTrial(situation);
  }
  return situation.former_idle ? std::optional(v1::ROLLOUT_SUCCEEDED) : std::nullopt;
}

} // namespace workshatch::relay

#include "core/relay/rollout_analysis.h"

#include <algorithm>
#include <utility>

namespace workshatch::relay {

namespace {

/// Standard deviations that speak against a version which is as good as the former one in less than
/// one of ten million looks; a rollout has some thousand, at each route and span.
constexpr double kStrongEvidence = 5.5;
/// At the end of the trial, when one look decides.
constexpr double kDoubtfulEvidence = 4.5;
/// Part of the duration after which a version without evidence against it is promoted; the rest is
/// left for the former versions to finish what they have.
constexpr double kTrialPart = 0.6;
/// Part after which a version that could not be judged is rolled back.
constexpr double kGiveUpPart = 0.85;
/// Answers of the target version on which a promotion rests at least.
constexpr uint64_t kLeastAnswers = 40;
/// Part of the former versions' places that the target version must have to take all requests.
constexpr double kLeastPlacesPart = 0.5;
/// Outcomes are also compared over these last spans, for a version that turns bad later.
constexpr int64_t kSpansMs[] = {2000, 4000};
constexpr int64_t kLongestSpanMs = 4000;
constexpr int64_t kBetweenMomentsMs = 250;

} // namespace

void RolloutAnalysis::take(const std::string& relay, uint64_t incarnation,
                           const v1::RolloutReport& report, int64_t now_ms) {
  remember(now_ms);
  Told& told = told_[relay];
  if (told.incarnation != incarnation) {
    told = Told{.incarnation = incarnation, .report = {}};
  }
  for (const v1::VersionOutcomes& outcomes : report.outcomes()) {
    const auto& before = told.report.outcomes();
    const auto known =
        std::find_if(before.begin(), before.end(), [&](const v1::VersionOutcomes& candidate) {
          return candidate.route() == outcomes.route() && candidate.target() == outcomes.target();
        });
    const OutcomeCounts counted = known == before.end() ? OutcomeCounts() : countsOf(*known);
    outcomes_.add(outcomes.route(), outcomes.target(), countsOf(outcomes).since(counted));
  }
  told.report = report;
}

void RolloutAnalysis::remember(int64_t now_ms) {
  if (!moments_.empty() && now_ms - moments_.back().at_ms < kBetweenMomentsMs) {
    return;
  }
  moments_.push_back(Moment{.at_ms = now_ms, .outcomes = outcomes_});
  while (moments_.size() > 1 && moments_[1].at_ms <= now_ms - kLongestSpanMs) {
    moments_.pop_front();
  }
}

Evidence RolloutAnalysis::strongestEvidence() const {
  Evidence strongest = outcomes_.strongest();
  if (moments_.empty()) {
    return strongest;
  }
  for (const int64_t span_ms : kSpansMs) {
    const int64_t from_ms = moments_.back().at_ms - span_ms;
    const auto moment = std::find_if(moments_.begin(), moments_.end(),
                                     [&](const Moment& held) { return held.at_ms >= from_ms; });
    const Evidence lately = outcomes_.since(moment->outcomes).strongest();
    strongest = strongest.strength < lately.strength ? lately : strongest;
  }
  return strongest;
}

std::optional<v1::RolloutPhase>
RolloutAnalysis::judgeTrial(const RolloutSituation& situation) const {
  const auto duration = static_cast<double>(duration_ms_);
  const auto elapsed = static_cast<double>(elapsedMs(situation.now_ms));
  if (elapsed < kTrialPart * duration) {
    return std::nullopt;
  }
  const bool room = static_cast<double>(situation.target_places) >=
                    kLeastPlacesPart * static_cast<double>(situation.former_places);
  const bool seen = outcomes_.totalOf(true).ended >= kLeastAnswers;
  if (room && seen && evidence_.strength < kDoubtfulEvidence) {
    return v1::ROLLOUT_PROMOTING;
  }
  return elapsed < kGiveUpPart * duration ? std::nullopt : std::optional(v1::ROLLOUT_ROLLED_BACK);
}

std::optional<v1::RolloutPhase> RolloutAnalysis::decide(v1::RolloutPhase phase,
                                                        const RolloutSituation& situation) {
  evidence_ = strongestEvidence();
  if (evidence_.strength >= kStrongEvidence) {
    return v1::ROLLOUT_ROLLED_BACK;
  }
  if (!situation.all_heard) {
    return std::nullopt;
  }
  if (phase == v1::ROLLOUT_CANARY) {
    return judgeTrial(situation);
  }
  return situation.former_idle ? std::optional(v1::ROLLOUT_SUCCEEDED) : std::nullopt;
}

} // namespace workshatch::relay

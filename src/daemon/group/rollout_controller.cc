#include "daemon/group/rollout_controller.h"

#include <algorithm>
#include <utility>

#include "adapters/logging/line_log.h"
#include "core/relay/group_state.h"

namespace workshatch::daemon {

namespace {

/// Number of renewal periods after which all relays have renewed with a new leader.
constexpr int64_t kSettlePeriods = 3;
/// Time after which a proposal that was not committed is repeated.
constexpr int64_t kProposalRetryMs = 500;
/// Time after which requests of a silent relay have ended. Such a relay may serve requests for the
/// rest of its lease; after this time they have completed or were aborted with the relay.
constexpr int64_t kSilentRelayLeaseMs = 5000;

} // namespace

RolloutController::TrackedRollout& RolloutController::trackedRollout(const v1::Rollout& rollout) {
  const int64_t now_ms = clock_.monotonicMs();
  const auto found = tracked_rollouts_.find(rollout.id());
  if (found != tracked_rollouts_.end()) {
    return found->second;
  }
  const auto since_order = static_cast<int64_t>(clock_.wallMs() - rollout.ordered_ms());
  // The wall clock may differ from that of the leader that ordered the rollout.
  const int64_t elapsed_ms = std::clamp<int64_t>(since_order, 0, rollout.duration_ms());
  return tracked_rollouts_
      .emplace(rollout.id(), TrackedRollout(relay::RolloutAnalysis(rollout, elapsed_ms, now_ms)))
      .first->second;
}

void RolloutController::addReport(const v1::LeaseRenewal& renewal) {
  for (const v1::RolloutReport& report : renewal.rollouts()) {
    const auto& rollouts = replica_.rollouts().rollouts();
    const auto rollout =
        std::find_if(rollouts.begin(), rollouts.end(), [&](const v1::Rollout& candidate) {
          return candidate.id() == report.rollout();
        });
    if (rollout != rollouts.end() && relay::isInProgress(*rollout)) {
      trackedRollout(*rollout).analysis.addReport(renewal.name(), renewal.incarnation(), report,
                                                  clock_.monotonicMs());
    }
  }
}

relay::RolloutConditions RolloutController::conditionsOf(const v1::Rollout& rollout,
                                                         const TrackedRollout& tracked,
                                                         const RelayRolloutSummary& relays,
                                                         const v1::RunnerList& runners) const {
  const int64_t now_ms = clock_.monotonicMs();
  relay::RolloutConditions conditions{
      .now_ms = now_ms,
      .report_period_ms = relays.renewal_period_ms,
      .all_relays_reported = replica_.leadingForMs() >= kSettlePeriods * relays.renewal_period_ms};
  for (const v1::RunnerEntry& runner : runners.runners()) {
    if (runner.service() != rollout.service() || runner.leaving()) {
      continue;
    }
    const bool target = runner.version() == rollout.target_version();
    (target ? conditions.target_slots : conditions.former_slots) += runner.slots();
  }
  const auto left = relays.former_in_progress.find(rollout.id());
  const bool none_left = left == relays.former_in_progress.end() || left->second == 0;
  const bool silent_ended =
      relays.silent == 0 || now_ms - tracked.phase_since_ms >= kSilentRelayLeaseMs;
  conditions.former_idle = relays.all_up_to_date && none_left && silent_ended;
  return conditions;
}

void RolloutController::step(const RelayRolloutSummary& relays, const v1::RunnerList& runners) {
  const int64_t now_ms = clock_.monotonicMs();
  for (const v1::Rollout& rollout : replica_.rollouts().rollouts()) {
    if (!relay::isInProgress(rollout)) {
      tracked_rollouts_.erase(rollout.id());
      continue;
    }
    TrackedRollout& tracked = trackedRollout(rollout);
    if (std::exchange(tracked.phase, rollout.phase()) != rollout.phase()) {
      tracked.phase_since_ms = now_ms;
      tracked.proposed_ms = 0;
    }
    const bool proposed =
        tracked.proposed_ms != 0 && now_ms - tracked.proposed_ms < kProposalRetryMs;
    const auto next =
        tracked.analysis.decide(rollout.phase(), conditionsOf(rollout, tracked, relays, runners));
    if (next && !proposed) {
      propose(rollout, *next, tracked);
    }
  }
}

void RolloutController::propose(const v1::Rollout& rollout, v1::RolloutPhase phase,
                                TrackedRollout& tracked) {
  tracked.proposed_ms = clock_.monotonicMs();
  const relay::RolloutEvidence& strongest = tracked.analysis.evidence();
  const relay::OutcomeCounts target = tracked.analysis.outcomes().totalOf(true);
  const relay::OutcomeCounts former = tracked.analysis.outcomes().totalOf(false);
  line_log::write("rollout_judged",
                  {{"service", rollout.service()},
                   {"target_version", rollout.target_version()},
                   {"phase", relay::nameOf(rollout.phase())},
                   {"next_phase", relay::nameOf(phase)},
                   {"elapsed_ms", tracked.analysis.elapsedMs(tracked.proposed_ms)},
                   {"evidence", strongest.evidence.strength},
                   {"evidence_of", relay::nameOf(strongest.criterion)},
                   {"excess_bad_answers", strongest.evidence.excess},
                   {"dispersion", strongest.evidence.dispersion},
                   {"intervals", strongest.evidence.intervals},
                   {"all_intervals", tracked.analysis.intervalCount()},
                   {"runner_groups", strongest.evidence.runner_groups},
                   {"relays", tracked.analysis.relaysWithTarget()},
                   {"target_answers", target.ended},
                   {"target_failures", target.failed},
                   {"former_answers", former.ended},
                   {"former_failures", former.failed}});
  v1::GroupCommand command;
  v1::RolloutVerdict& verdict = *command.mutable_rollout_verdict();
  verdict.set_service(rollout.service());
  verdict.set_id(rollout.id());
  verdict.set_phase(phase);
  // The outcome is ignored: a verdict that was not stored is proposed again.
  replica_.order(command, [](const CallOutcome<StoreOutcome>&) {});
}

} // namespace workshatch::daemon

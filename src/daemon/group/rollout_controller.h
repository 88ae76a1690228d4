/// @file
/// The leader's part in rollouts: judges those that are under way, and proposes their next phases.
#pragma once

#include <cstdint>
#include <map>

#include "core/relay/rollout_analysis.h"
#include "daemon/group/group_replica.h"
#include "ports/clock.h"

namespace workshatch::daemon {

/// What all relays tell of rollouts together.
struct RelayRolloutSummary {
  int64_t renewal_period_ms = 0;
  /// Each relay has the newest list of rollouts.
  bool all_up_to_date = true;
  /// Relays that fell silent lately: they may have requests in progress that nobody tells of.
  uint32_t silent = 0;
  /// Requests in progress at former versions, by index of the rollout's order.
  std::map<uint64_t, uint32_t> former_in_progress;
};

/// Lives on the replica's event loop; not safe for concurrent use.
class RolloutController {
public:
  RolloutController(GroupReplica& replica, const Clock& clock) : replica_(replica), clock_(clock) {}

  /// Begins a new leadership: relays tell their outcomes again.
  void beginTerm() { tracked_rollouts_.clear(); }
  /// Takes what a relay tells of rollouts.
  void addReport(const v1::LeaseRenewal& renewal);
  /// Proposes the phases that are due.
  void step(const RelayRolloutSummary& relays, const v1::RunnerList& runners);

private:
  struct TrackedRollout {
    explicit TrackedRollout(relay::RolloutAnalysis begun) : analysis(std::move(begun)) {}
    relay::RolloutAnalysis analysis;
    v1::RolloutPhase phase = v1::ROLLOUT_PHASE_UNKNOWN;
    /// When the present phase was seen first, and when a next one was proposed last.
    int64_t phase_since_ms = 0;
    int64_t proposed_ms = 0;
  };

  TrackedRollout& trackedRollout(const v1::Rollout& rollout);
  relay::RolloutConditions situationOf(const v1::Rollout& rollout, const TrackedRollout& tracked,
                                       const RelayRolloutSummary& relays,
                                       const v1::RunnerList& runners) const;
  void propose(const v1::Rollout& rollout, v1::RolloutPhase phase, TrackedRollout& tracked);

  GroupReplica& replica_;
  const Clock& clock_;
  /// By index of the rollout's order in the replicated log.
  std::map<uint64_t, TrackedRollout> tracked_rollouts_;
};

} // namespace workshatch::daemon

/// @file
/// The leader's control of rollouts: evaluates the running ones and proposes their next phases.
#pragma once

#include <cstdint>
#include <map>

#include "core/relay/rollout_analysis.h"
#include "daemon/group/group_replica.h"
#include "ports/clock.h"

namespace workshatch::daemon {

/// Summary of the state of all relays that matters for rollouts.
struct RelayRolloutSummary {
  int64_t renewal_period_ms = 0;
  /// Whether each relay has the newest list of rollouts.
  bool all_up_to_date = true;
  /// Number of relays that fell silent recently. Their requests in progress are not reported.
  uint32_t silent = 0;
  /// Requests in progress at former versions, by rollout id.
  std::map<uint64_t, uint32_t> former_in_progress;
};

/// Evaluates running rollouts by the outcomes that relays report. Used on the replica's event loop;
/// not safe for concurrent use.
class RolloutController {
public:
  RolloutController(GroupReplica& replica, const Clock& clock) : replica_(replica), clock_(clock) {}

  /// Starts a new term of leadership, in which relays report all outcomes again.
  void beginTerm() { tracked_rollouts_.clear(); }
  /// Records the rollout reports of a renewal.
  void addReport(const v1::LeaseRenewal& renewal);
  /// Proposes the next phase of each rollout that is due for one.
  void step(const RelayRolloutSummary& relays, const v1::RunnerList& runners);

private:
  struct TrackedRollout {
    explicit TrackedRollout(relay::RolloutAnalysis begun) : analysis(std::move(begun)) {}
    relay::RolloutAnalysis analysis;
    v1::RolloutPhase phase = v1::ROLLOUT_PHASE_UNKNOWN;
    /// Monotonic time at which the current phase was first seen.
    int64_t phase_since_ms = 0;
    /// Monotonic time of the last proposal of a next phase; zero if there was none in this phase.
    int64_t proposed_ms = 0;
  };

  TrackedRollout& trackedRollout(const v1::Rollout& rollout);
  relay::RolloutConditions conditionsOf(const v1::Rollout& rollout, const TrackedRollout& tracked,
                                        const RelayRolloutSummary& relays,
                                        const v1::RunnerList& runners) const;
  void propose(const v1::Rollout& rollout, v1::RolloutPhase phase, TrackedRollout& tracked);

  GroupReplica& replica_;
  const Clock& clock_;
  /// By rollout id, which is the log index of the rollout's order.
  std::map<uint64_t, TrackedRollout> tracked_rollouts_;
};

} // namespace workshatch::daemon

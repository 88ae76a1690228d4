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
struct RelaysOfRollouts {
  int64_t renewal_period_ms = 0;
  /// Each relay has the newest list of rollouts.
  bool all_know = true;
  /// Relays that fell silent lately: they may have requests in progress that nobody tells of.
  uint32_t silent = 0;
  /// Requests in progress at former versions, by index of the rollout's order.
  std::map<uint64_t, uint32_t> former_in_progress;
};

/// Lives on the replica's event loop; not safe for concurrent use.
class RolloutJudge {
public:
  RolloutJudge(GroupReplica& replica, const Clock& clock) : replica_(replica), clock_(clock) {}

  /// Begins a new leadership: relays tell their outcomes again.
  void beginTerm() { analyses_.clear(); }
  /// Takes what a relay tells of rollouts.
  void take(const v1::LeaseRenewal& renewal);
  /// Proposes the phases that are due.
  void step(const RelaysOfRollouts& relays, const v1::RunnerList& runners);

private:
  struct Judged {
    explicit Judged(relay::RolloutAnalysis begun) : analysis(std::move(begun)) {}
    relay::RolloutAnalysis analysis;
    v1::RolloutPhase phase = v1::ROLLOUT_PHASE_UNKNOWN;
    /// When the present phase was seen first, and when a next one was proposed last.
    int64_t phase_since_ms = 0;
    int64_t proposed_ms = 0;
  };

  Judged& judgedOf(const v1::Rollout& rollout);
  relay::RolloutSituation situationOf(const v1::Rollout& rollout, const Judged& judged,
                                      const RelaysOfRollouts& relays,
                                      const v1::RunnerList& runners) const;
  void propose(const v1::Rollout& rollout, v1::RolloutPhase phase, Judged& judged);

  GroupReplica& replica_;
  const Clock& clock_;
  /// By index of the rollout's order in the replicated log.
  std::map<uint64_t, Judged> analyses_;
};

} // namespace workshatch::daemon

#include "core/relay/rollout_outcomes.h"

#include "core/relay/group_state.h"
#include "core/routing/rendezvous.h"

namespace workshatch::relay {

namespace {

/// Writes counts without the zeros at their end.
template <typename Counts, typename Repeated>
void writeCounts(const Counts& counts, Repeated& message) {
  size_t used = counts.size();
  while (used > 0 && counts[used - 1] == 0) {
    --used;
  }
  for (size_t i = 0; i < used; ++i) {
    message.Add(counts[i]);
  }
}

} // namespace

void RolloutOutcomes::record(uint64_t rollout, const VersionOutcome& outcome) {
  RolloutCounts& rollout_counts = counts_[rollout];
  OutcomeCounts& counts =
      rollout_counts.routes[RouteVersion(routing::fingerprintOf(outcome.route), outcome.target)];
  ++counts.ended;
  counts.failed += outcome.failed ? 1 : 0;
  if (outcome.first_ms) {
    ++counts.first_times[timeBucketOf(*outcome.first_ms)];
  }
  if (outcome.step_ms) {
    ++counts.step_times[timeBucketOf(*outcome.step_ms)];
  }
  if (outcome.target) {
    rollout_counts.target_groups.record(outcome.runner, outcome.failed);
  }
}

void RolloutOutcomes::fill(v1::RolloutReport& report) const {
  const auto found = counts_.find(report.rollout());
  if (found == counts_.end()) {
    return;
  }
  for (const auto& [route_version, counts] : found->second.routes) {
    v1::VersionOutcomes& message = *report.add_outcomes();
    message.set_route(route_version.first);
    message.set_target(route_version.second);
    message.set_ended(counts.ended);
    message.set_failed(counts.failed);
    writeCounts(counts.first_times, *message.mutable_first_times());
    writeCounts(counts.step_times, *message.mutable_step_times());
  }
  writeCounts(found->second.target_groups.ended, *report.mutable_target_ended());
  writeCounts(found->second.target_groups.failed, *report.mutable_target_failed());
}

void RolloutOutcomes::dropFinished(const v1::RolloutList& rollouts) {
  std::map<uint64_t, RolloutCounts> kept;
  for (const v1::Rollout& rollout : rollouts.rollouts()) {
    const auto found = counts_.find(rollout.id());
    if (isInProgress(rollout) && found != counts_.end()) {
      kept.insert(std::move(*found));
    }
  }
  counts_ = std::move(kept);
}

} // namespace workshatch::relay

#include "core/relay/rollout_outcomes.h"

#include "core/relay/group_state.h"
#include "core/routing/rendezvous.h"

namespace workshatch::relay {

namespace {

template <typename Repeated>
void writeTimes(const std::array<uint64_t, kTimeBuckets>& times, Repeated& message) {
  size_t used = times.size();
  while (used > 0 && times[used - 1] == 0) {
    --used;
  }
  for (size_t i = 0; i < used; ++i) {
    message.Add(static_cast<uint32_t>(times[i]));
  }
}

} // namespace

void RolloutOutcomes::record(uint64_t rollout, const VersionOutcome& outcome) {
  OutcomeCounts& counts =
      counts_[rollout][RouteVersion(routing::fingerprintOf(outcome.route), outcome.target)];
  ++counts.ended;
  counts.failed += outcome.failed ? 1 : 0;
  if (outcome.first_ms) {
    ++counts.first_times[timeBucketOf(*outcome.first_ms)];
  }
  if (outcome.step_ms) {
    ++counts.step_times[timeBucketOf(*outcome.step_ms)];
  }
}

void RolloutOutcomes::fill(v1::RolloutReport& report) const {
  const auto found = counts_.find(report.rollout());
  if (found == counts_.end()) {
    return;
  }
  for (const auto& [route_version, counts] : found->second) {
    v1::VersionOutcomes& message = *report.add_outcomes();
    message.set_route(route_version.first);
    message.set_target(route_version.second);
    message.set_ended(static_cast<uint32_t>(counts.ended));
    message.set_failed(static_cast<uint32_t>(counts.failed));
    writeTimes(counts.first_times, *message.mutable_first_times());
    writeTimes(counts.step_times, *message.mutable_step_times());
  }
}

void RolloutOutcomes::dropFinished(const v1::RolloutList& rollouts) {
  std::map<uint64_t, std::map<RouteVersion, OutcomeCounts>> kept;
  for (const v1::Rollout& rollout : rollouts.rollouts()) {
    const auto found = counts_.find(rollout.id());
    if (isInProgress(rollout) && found != counts_.end()) {
      kept.insert(std::move(*found));
    }
  }
  counts_ = std::move(kept);
}

} // namespace workshatch::relay

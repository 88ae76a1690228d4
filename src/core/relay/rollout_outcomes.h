/// @file
/// What one relay has seen of requests at both versions of a rollout, as it tells the leader.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "core/relay/version_comparison.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// How one request ended at a runner.
struct VersionOutcome {
  std::string route;
  bool target = false;
  bool failed = false;
  /// Milliseconds to the first part of the answer; nothing: none came.
  std::optional<double> first_ms;
  /// Milliseconds from event to event of a stream, or to the end of any other answer.
  std::optional<double> step_ms;
};

/// Counts outcomes of the rollouts that are under way. Not safe for concurrent use.
class RolloutOutcomes {
public:
  void record(uint64_t rollout, const VersionOutcome& outcome);
  /// Adds what was counted for a rollout.
  void fill(v1::RolloutReport& report) const;
  /// Drops what belongs to rollouts that are over.
  void dropFinished(const v1::RolloutList& rollouts);

private:
  /// Fingerprint of the route, and whether the runner was of the target version.
  using RouteVersion = std::pair<uint64_t, bool>;

  /// By index of the rollout's order in the replicated log.
  std::map<uint64_t, std::map<RouteVersion, OutcomeCounts>> counts_;
};

} // namespace workshatch::relay

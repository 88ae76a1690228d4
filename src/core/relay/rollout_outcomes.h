/// @file
/// Counts the outcomes of one relay's requests at both versions of a rollout, for its reports to
/// the leader.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "core/relay/runner_groups.h"
#include "core/relay/version_comparison.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Outcome of one request at a runner.
struct VersionOutcome {
  std::string route;
  /// Fingerprint of the runner's incarnation.
  uint64_t runner = 0;
  bool target = false;
  bool failed = false;
  /// Milliseconds to the first part of the response; empty: there was no response.
  std::optional<double> first_ms;
  /// Mean interval between the events of a stream, or time to the end of any other response, in
  /// milliseconds.
  std::optional<double> step_ms;
};

/// Counts outcomes for the rollouts in progress. Not safe for concurrent use.
class RolloutOutcomes {
public:
  void record(uint64_t rollout, const VersionOutcome& outcome);
  /// Adds the counts for the report's rollout to the report.
  void fill(v1::RolloutReport& report) const;
  /// Drops the counts of all rollouts that are not in progress.
  void dropFinished(const v1::RolloutList& rollouts);

private:
  /// Fingerprint of the route, and whether the runner was of the target version.
  using RouteVersion = std::pair<uint64_t, bool>;

  struct RolloutCounts {
    std::map<RouteVersion, OutcomeCounts> routes;
    RunnerGroupCounts target_groups;
  };

  /// By index of the rollout's order in the replicated log.
  std::map<uint64_t, RolloutCounts> counts_;
};

} // namespace workshatch::relay

/// @file
/// The strongest evidence against a rollout's target version in a time window.
#pragma once

#include <cstdint>
#include <vector>

#include "core/relay/clustered_evidence.h"
#include "core/relay/outcome_intervals.h"

namespace workshatch::relay {

/// What a version is worse in.
enum class RolloutCriterion {
  /// No evidence.
  None,
  /// Failures on all routes, or on one.
  Failures,
  /// Late first parts of the responses of a route.
  FirstTimes,
  /// Late events of a stream, or late ends of other responses, on one route.
  StepTimes,
};

struct RolloutEvidence {
  RolloutCriterion criterion = RolloutCriterion::None;
  Evidence evidence;
};

const char* nameOf(RolloutCriterion criterion);

/// Consecutive intervals, the oldest first.
using OutcomeWindow = std::vector<const OutcomeInterval*>;

/// @param cluster_ms shortest time for which outcomes are taken as one cluster; at least the period
/// of the reports, so that a burst that several relays report belongs to one or two clusters
/// @return the strongest evidence against the target version: failures of all routes together or of
/// one route, or responses of one route that are late compared with the former version. A few bad
/// responses are no evidence.
RolloutEvidence strongestEvidence(const OutcomeWindow& window, int64_t cluster_ms);

} // namespace workshatch::relay

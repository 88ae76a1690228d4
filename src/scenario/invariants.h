/// @file
/// Invariants that are checked at the end of every scenario.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scenario/load_generator.h"

namespace workshatch::scenario {

/// A configuration change that an operator's call reported as accepted.
struct AcceptedChange {
  uint64_t revision = 0;
  /// Milliseconds since the epoch.
  int64_t at_ms = 0;
};

/// Records of a scenario from which the invariants are checked.
struct InvariantInputs {
  std::vector<const LoadGenerator*> loads;
  /// Files in which the back ends recorded their runs.
  std::vector<std::string> run_logs;
  std::vector<std::string> daemon_logs;
  std::vector<AcceptedChange> accepted;
};

/// Counts for the summary of the scenario.
struct ScenarioCounts {
  uint64_t runs = 0;
  uint64_t completed = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  uint64_t lost = 0;
  uint64_t chat_turns = 0;
  uint64_t decisions = 0;
  uint64_t slowest_refusal_ms = 0;
};

struct InvariantReport {
  /// Descriptions of violated invariants, at most ten; empty if all hold.
  std::vector<std::string> violations;
  ScenarioCounts counts;
};

/// Checks that
/// - no key ran twice, and all responses to a key are equal and belong to a recorded run,
/// - a request that was reported as not run did not run, and was refused in time, with Retry-After,
/// - no request was rejected,
/// - every chat turn received its own complete text, in order,
/// - daemons write only JSON log lines and never return to an older revision,
/// - routers use an accepted change after a limited time.
InvariantReport checkInvariants(const InvariantInputs& inputs);

} // namespace workshatch::scenario

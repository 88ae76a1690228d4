/// @file
/// What must hold at the end of every scenario, whatever its script asked.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scenario/load_generator.h"

namespace workshatch::scenario {

/// A change that an operator was told is accepted.
struct AcceptedChange {
  uint64_t revision = 0;
  /// Milliseconds since the epoch.
  int64_t at_ms = 0;
};

struct InvariantInputs {
  std::vector<const LoadGenerator*> loads;
  /// Files in which the back ends noted their runs.
  std::vector<std::string> run_logs;
  /// Logs of the daemons.
  std::vector<std::string> daemon_logs;
  std::vector<AcceptedChange> accepted;
};

/// What was counted, for the scenario's closing line.
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
  /// Empty: all invariants hold.
  std::vector<std::string> violations;
  ScenarioCounts counts;
};

InvariantReport checkInvariants(const InvariantInputs& inputs);

} // namespace workshatch::scenario

/// @file
/// Scenarios drawn by lot: overlapping series of faults, restarts and changes under steady load.
#pragma once

#include <cstdint>
#include <string>

namespace workshatch::scenario {

struct SoakPlan {
  /// Draws everything; the same seed gives the same scenario.
  uint64_t seed = 1;
  /// Faults and changes before everything is mended at the end. Some five steps take ten seconds.
  uint32_t steps = 40;
  /// First three numbers of all addresses.
  std::string network = "127.0.60";
};

/// @return the text of a scenario file, which replays the run.
///
/// Guarantees: at most one control replica, one daemon without control and two model runners are
/// disturbed at the same time, each for some steps, so that faults overlap and the system can still
/// go on; at the end all is mended and every load runs out.
std::string soakScript(const SoakPlan& plan);

} // namespace workshatch::scenario

/// @file
/// Generates random scenarios: overlapping faults, restarts and configuration changes under steady
/// load.
#pragma once

#include <cstdint>
#include <string>

namespace workshatch::scenario {

struct SoakPlan {
  /// Seed of all random choices. The same options give the same scenario.
  uint64_t seed = 1;
  /// Number of faults and changes before all faults are ended. Five steps take about ten seconds.
  uint32_t steps = 40;
  /// First three octets of all addresses.
  std::string network = "127.0.60";
};

/// Generates a scenario. Each fault lasts for one to four steps, so that faults overlap. At most
/// one control replica, one daemon without control role and two model runners are disturbed at the
/// same time, so that the system can still make progress. At the end, all faults are ended and the
/// scenario waits until every load has finished.
/// @return the text of a scenario file, which can be replayed.
std::string soakScript(const SoakPlan& plan);

} // namespace workshatch::scenario

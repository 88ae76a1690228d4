/// @file
/// Identifies one process of a runner, as opposed to earlier or later processes under the same id.
#pragma once

#include <cstdint>
#include <string>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// One process of a runner, from its start to its end. A runner that restarts under its id has lost
/// its requests and cached prefixes.
///
/// All state about a runner is kept under the fingerprint of its incarnation, so that it ends with
/// the process: entries of the runner table, load totals, slots and request rates at slot owners,
/// prompt prefixes, and crashes. A message about a former incarnation carries another fingerprint
/// and does not change the state of the present one.
struct RunnerIncarnation {
  std::string id;
  /// When the process started, milliseconds since the epoch; zero: unknown. Only compared for
  /// equality, because wall clocks may step back between two starts.
  uint64_t born_ms = 0;

  /// @return a fingerprint that is never zero. If the start is unknown, it depends on the id alone.
  uint64_t fingerprint() const;
};

RunnerIncarnation incarnationOf(const v1::RunnerEntry& entry);

/// @return whether two entries describe the same process, which never changes its version.
inline bool sameIncarnation(const v1::RunnerEntry& left, const v1::RunnerEntry& right) {
  return left.id() == right.id() && left.born_ms() == right.born_ms() &&
         left.version() == right.version();
}

} // namespace workshatch::relay

/// @file
/// Which process of a runner is meant.
#pragma once

#include <cstdint>
#include <string>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// One process of a runner, from its start to its end. A runner that starts again under its id
/// holds nothing and knows nothing of before.
///
/// All that is kept of a runner is kept under its life's fingerprint, so that it ends with the
/// life: entries of the table of runners, load sums, places and pace at owners, parts of prompts,
/// ends of runners. A message about a former life names another fingerprint and changes nothing of
/// the present one.
struct RunnerIncarnation {
  std::string id;
  /// When the process started, milliseconds since the epoch; zero: not told. Only compared for
  /// being the same: wall clocks may step back between two starts.
  uint64_t born_ms = 0;

  /// @return never zero; that of a life without a told start is the id's alone.
  uint64_t fingerprint() const;
};

RunnerIncarnation incarnationOf(const v1::RunnerEntry& entry);

/// @return whether two entries are of one process.
inline bool sameIncarnation(const v1::RunnerEntry& left, const v1::RunnerEntry& right) {
  return left.id() == right.id() && left.born_ms() == right.born_ms();
}

} // namespace workshatch::relay

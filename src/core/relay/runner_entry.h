/// @file
/// Order and equality of the entries of a list of runners.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/relay/runner_incarnation.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Lists of runners are sorted by id.
inline bool comesBefore(const v1::RunnerEntry& left, const v1::RunnerEntry& right) {
  return left.id() < right.id();
}

/// Whether two entries say the same but for how long the runner stays cold, which differs at each
/// reading. Field by field: comparing by reflection takes a leader of thousands of runners too
/// long.
inline bool sameEntry(const v1::RunnerEntry& left, const v1::RunnerEntry& right) {
  return sameIncarnation(left, right) && left.leaving() == right.leaving() &&
         left.slots() == right.slots() && left.address() == right.address() &&
         left.service() == right.service() && left.zone() == right.zone() &&
         left.version() == right.version();
}

/// @return whether a runner has turned cold since the earlier reading: the time only falls
/// otherwise.
inline bool becameCold(const v1::RunnerEntry& earlier, const v1::RunnerEntry& later) {
  return later.cold_ms() > earlier.cold_ms();
}

/// Keeps one entry for each id: of several, that of the process that started last, and of these the
/// first. @return how many were dropped.
size_t dropDuplicates(v1::RunnerList& list);

/// @return a number that differs for entries that differ in more than how cold the runner is.
uint64_t fingerprintOf(const v1::RunnerEntry& entry);

/// @return the sum of the entries' fingerprints, so that a list's is known from what changed.
uint64_t fingerprintOf(const v1::RunnerList& list);

} // namespace workshatch::relay

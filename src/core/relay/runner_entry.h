/// @file
/// Order, equality and fingerprints of the entries of a list of runners.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/relay/runner_incarnation.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Order of the entries of a list: by id.
inline bool comesBefore(const v1::RunnerEntry& left, const v1::RunnerEntry& right) {
  return left.id() < right.id();
}

/// @return whether two entries are equal except for the remaining cold time, which differs at each
/// reading. The fields are compared one by one, because comparing by reflection takes a leader of
/// thousands of runners too long.
inline bool sameEntry(const v1::RunnerEntry& left, const v1::RunnerEntry& right) {
  return sameIncarnation(left, right) && left.leaving() == right.leaving() &&
         left.slots() == right.slots() && left.address() == right.address() &&
         left.service() == right.service() && left.zone() == right.zone() &&
         left.version() == right.version();
}

/// @return whether a runner has become cold since the earlier reading. Otherwise the remaining cold
/// time can only decrease.
inline bool becameCold(const v1::RunnerEntry& earlier, const v1::RunnerEntry& later) {
  return later.cold_ms() > earlier.cold_ms();
}

/// Keeps one entry for each id: the one of the process that started last, and among several of that
/// process the first.
/// @return number of entries dropped.
size_t dropDuplicates(v1::RunnerList& list);

/// @return a fingerprint of all fields except the remaining cold time.
uint64_t fingerprintOf(const v1::RunnerEntry& entry);

/// @return the sum of the entries' fingerprints, so that the fingerprint of an updated list can be
/// computed from the changed entries alone.
uint64_t fingerprintOf(const v1::RunnerList& list);

} // namespace workshatch::relay

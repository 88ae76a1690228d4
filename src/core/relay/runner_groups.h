/// @file
/// Outcomes of requests by group of runners, so that relays can report in a few numbers whether
/// failures occur at one runner or at several.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Number of groups. A version on trial uses few runners, which then are mostly in different
/// groups; a version in use has several runners in each.
inline constexpr size_t kRunnerGroups = 16;

/// Responses of one version's runners, by group.
struct RunnerGroupCounts {
  std::array<uint32_t, kRunnerGroups> ended{};
  std::array<uint32_t, kRunnerGroups> failed{};

  /// @param runner fingerprint of the runner
  void record(uint64_t runner, bool has_failed) {
    const size_t group = runner % kRunnerGroups;
    ++ended[group];
    failed[group] += has_failed ? 1 : 0;
  }

  RunnerGroupCounts& operator+=(const RunnerGroupCounts& more) {
    for (size_t group = 0; group < kRunnerGroups; ++group) {
      ended[group] += more.ended[group];
      failed[group] += more.failed[group];
    }
    return *this;
  }

  /// Counts since an earlier state. Counts never decrease.
  RunnerGroupCounts since(const RunnerGroupCounts& earlier) const {
    RunnerGroupCounts counts = *this;
    for (size_t group = 0; group < kRunnerGroups; ++group) {
      counts.ended[group] -= earlier.ended[group];
      counts.failed[group] -= earlier.failed[group];
    }
    return counts;
  }
};

/// @return the counts of a report; groups that it does not contain are zero, further ones ignored.
RunnerGroupCounts runnerGroupCountsOf(const v1::RolloutReport& report);

} // namespace workshatch::relay

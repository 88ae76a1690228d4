/// @file
/// Outcomes of requests at both versions of a rollout by interval of time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "core/relay/runner_groups.h"
#include "core/relay/version_comparison.h"

namespace workshatch::relay {

/// Outcomes that were reported in one interval.
struct OutcomeInterval {
  int64_t from_ms = 0;
  VersionComparison outcomes;
  /// Responses of the target version by group of its runners.
  RunnerGroupCounts target_groups;

  OutcomeInterval& operator+=(const OutcomeInterval& more);
};

/// A bounded list of consecutive intervals of equal length, the oldest first. Intervals without
/// reports are missing. Times are milliseconds of the monotonic clock. Not safe for concurrent
/// use.
class OutcomeIntervals {
public:
  /// What happens when there are more intervals than the limit.
  enum class Overflow {
    /// The oldest one is dropped.
    DropOldest,
    /// Neighboring intervals are merged in pairs, and the length of further ones doubles.
    Merge,
  };

  OutcomeIntervals(int64_t interval_ms, size_t limit, Overflow overflow)
      : interval_ms_(interval_ms), limit_(limit), overflow_(overflow) {}

  /// @return the interval that contains the present time; valid until the next call.
  OutcomeInterval& at(int64_t now_ms);

  const std::deque<OutcomeInterval>& list() const { return intervals_; }
  int64_t intervalMs() const { return interval_ms_; }

private:
  int64_t beginOf(int64_t time_ms) const { return time_ms - time_ms % interval_ms_; }
  void mergePairs();

  int64_t interval_ms_;
  const size_t limit_;
  const Overflow overflow_;
  std::deque<OutcomeInterval> intervals_;
};

} // namespace workshatch::relay

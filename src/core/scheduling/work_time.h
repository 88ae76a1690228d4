/// @file
/// How much longer than usual requests take at runners that share their machines with other work.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/relay/runner.h"

namespace workshatch::relay {

/// Weight of the newest reported factor; the factor changes several times per second.
inline constexpr double kNewestWorkTimeWeight = 0.5;
/// A factor that was reported longer ago than this is ignored.
inline constexpr int64_t kWorkTimeValidMs = 1000;
/// Maximum factor. A runner that reports to be faster than usual counts as usual, so that an untrue
/// factor gains it no requests; one that reports to be slower loses requests by at most this
/// factor.
inline constexpr double kMaxWorkTimeFactor = 10;

/// Records the factor by which a runner reports that requests take longer than usual.
inline void recordWorkTime(Runner& runner, double factor, int64_t now_ms) {
  const double reported = std::clamp(factor, 1.0, kMaxWorkTimeFactor);
  const bool is_valid =
      runner.work_time_reported_ms != 0 && now_ms - runner.work_time_reported_ms < kWorkTimeValidMs;
  const double previous = is_valid ? runner.work_time_factor : reported;
  runner.work_time_factor = previous + kNewestWorkTimeWeight * (reported - previous);
  runner.work_time_reported_ms = now_ms;
}

/// @return the factor by which requests take longer than usual at the runner now; 1 if unknown.
inline double workTimeFactor(const Runner& runner, int64_t now_ms) {
  const bool is_valid =
      runner.work_time_reported_ms != 0 && now_ms - runner.work_time_reported_ms < kWorkTimeValidMs;
  return is_valid ? runner.work_time_factor : 1;
}

} // namespace workshatch::relay

/// @file
/// How long work takes at runners that share their machines with others.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/relay/runner.h"

namespace workshatch::relay {

/// Weight of the newest figure: it changes several times a second.
inline constexpr double kNewestWorkTimeWeight = 0.5;
/// What was told longer ago says nothing of now.
inline constexpr int64_t kWorkTimeValidMs = 1000;
/// A runner that says that it is quicker than usual is taken as usual: it gains no requests by an
/// untrue figure. One that says that it is slower loses them at most by this factor.
inline constexpr double kMaxWorkTimeFactor = 10;

inline void recordWorkTime(Runner& runner, double factor, int64_t now_ms) {
  const double believed = std::clamp(factor, 1.0, kMaxWorkTimeFactor);
  const bool counts =
      runner.work_time_reported_ms != 0 && now_ms - runner.work_time_reported_ms < kWorkTimeValidMs;
  const double before = counts ? runner.work_time_factor : believed;
  runner.work_time_factor = before + kNewestWorkTimeWeight * (believed - before);
  runner.work_time_reported_ms = now_ms;
}

/// @return how long work takes at the runner now, as far as it is known; 1: as usual.
inline double workTimeFactor(const Runner& runner, int64_t now_ms) {
  const bool counts =
      runner.work_time_reported_ms != 0 && now_ms - runner.work_time_reported_ms < kWorkTimeValidMs;
  return counts ? runner.work_time_factor : 1;
}

} // namespace workshatch::relay

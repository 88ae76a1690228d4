/// @file
/// Times of a planned stop of a relay, within the time that its operators give it.
#pragma once

#include <algorithm>
#include <cstdint>

namespace workshatch::relay {

/// Time for which callers may still use the address of a relay that has begun to stop.
inline constexpr int64_t kAcceptWhileStoppingMs = 2800;
/// Fractions of the time for a stop: after the first one no new requests are accepted, after the
/// second one requests in progress are ended, after the third one the process ends.
inline constexpr double kAcceptFraction = 0.35;
inline constexpr double kCutFraction = 0.95;
inline constexpr double kEndFraction = 0.98;
/// Delay after which a caller may repeat a request that a stopping relay refused. Other relays can
/// serve it at once.
inline constexpr uint32_t kRetryWhileStoppingMs = 50;

/// Milliseconds of the monotonic clock.
struct PlannedStop {
  /// From then on all new requests are refused.
  int64_t refuse_ms = 0;
  /// Requests that are still in progress are ended then.
  int64_t cut_ms = 0;
  /// The process ends then, also if callers have not read their answers.
  int64_t end_ms = 0;
};

/// @param begin_ms when the stop began
/// @param limit_ms time for the whole stop
inline PlannedStop plannedStop(int64_t begin_ms, int64_t limit_ms) {
  const auto after = [&](double fraction) {
    return static_cast<int64_t>(fraction * static_cast<double>(limit_ms));
  };
  return PlannedStop{.refuse_ms =
                         begin_ms + std::min(kAcceptWhileStoppingMs, after(kAcceptFraction)),
                     .cut_ms = begin_ms + after(kCutFraction),
                     .end_ms = begin_ms + after(kEndFraction)};
}

} // namespace workshatch::relay

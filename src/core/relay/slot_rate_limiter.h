/// @file
/// How many places a second the owner of a cold runner gives.
#pragma once

#include <cstdint>

namespace workshatch::relay {

/// A pace of requests. Default: unlimited.
struct RateLimit {
  /// Zero: unlimited.
  double per_s = 0;
  /// Requests that may come at once after a pause.
  double burst = 0;

  bool limits() const { return per_s > 0; }
};

/// Splits what may reach a cold runner in a second into a pace and a burst, so that the bound holds
/// also while two owners give places for some moments: one at the full pace, the other, which has
/// become the owner just then, at half of it and without a burst.
/// @param per_s requests a second that the runner bears
/// @param factor, slack no second may bring more than `per_s` times `factor` plus `slack`
RateLimit rateLimitFor(double per_s, double factor, double slack);

/// A token bucket that starts empty: what an earlier owner gave in the last second is not known
/// here. Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class SlotRateLimiter {
public:
  /// @param now_ms when this owner was first asked for the runner
  explicit SlotRateLimiter(int64_t now_ms) : filled_ms_(now_ms) {}

  /// Takes one place.
  /// @param halved another owner may still be giving places of the runner
  /// @return zero, or the milliseconds until there is one.
  uint32_t take(const RateLimit& limit, bool halved, int64_t now_ms);

private:
  double tokens_ = 0;
  int64_t filled_ms_;
};

} // namespace workshatch::relay

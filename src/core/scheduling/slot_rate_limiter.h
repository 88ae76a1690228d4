/// @file
/// Rate limit for the slots of a cold runner, applied by their owner.
#pragma once

#include <cstdint>

namespace workshatch::relay {

/// A rate of requests with a burst; unlimited by default.
struct RateLimit {
  /// Requests per second; 0 means unlimited.
  double per_s = 0;
  /// Requests that may be granted at once after a pause.
  double burst = 0;

  bool limits() const { return per_s > 0; }
};

/// Splits a bound on the requests per second to a cold runner into a rate and a burst, so that the
/// bound also holds while two owners grant slots for a short time: one at the full rate, and the
/// other, which has just become the owner, at half the rate and without a burst.
/// @param per_s requests per second that the runner can take
/// @param factor, slack the bound: no second may bring more than `per_s` times `factor` plus
/// `slack` requests
RateLimit rateLimitFor(double per_s, double factor, double slack);

/// A token bucket that starts empty, because the grants of an earlier owner in the last second are
/// not known here. Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class SlotRateLimiter {
public:
  /// @param now_ms when this owner received the first claim for the runner
  explicit SlotRateLimiter(int64_t now_ms) : filled_ms_(now_ms) {}

  /// Takes one slot if the rate limit allows it.
  /// @param owner_overlap whether another owner may still grant slots of the runner
  /// @return 0 if a slot was taken, else the milliseconds until one is available.
  uint32_t take(const RateLimit& limit, bool owner_overlap, int64_t now_ms);

private:
  double tokens_ = 0;
  int64_t filled_ms_;
};

} // namespace workshatch::relay

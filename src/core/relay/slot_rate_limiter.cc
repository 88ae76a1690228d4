#include "core/relay/slot_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace workshatch::relay {

namespace {

constexpr double kMsPerSecond = 1000;
/// Pace of an owner beside which another may give places.
constexpr double kHalf = 0.5;
/// The burst is no more than this part of what a runner bears in a second.
constexpr double kMostBurst = 0.5;

} // namespace

RateLimit rateLimitFor(double per_s, double factor, double slack) {
  const double most = per_s * factor + slack;
  const double two_owners = 1 + kHalf;
  RateLimit limit;
  // A bucket holds a whole request at least.
  limit.per_s = std::min(per_s, std::max((most - 1) / two_owners, kHalf));
  limit.burst = std::max(1.0, std::min(most - two_owners * limit.per_s, kMostBurst * limit.per_s));
  return limit;
}

uint32_t SlotRateLimiter::take(const RateLimit& limit, bool halved, int64_t now_ms) {
  const double per_ms = limit.per_s * (halved ? kHalf : 1) / kMsPerSecond;
  const double burst = halved ? 1 : limit.burst;
  tokens_ = std::min(tokens_ + per_ms * static_cast<double>(now_ms - filled_ms_), burst);
  filled_ms_ = now_ms;
  if (tokens_ >= 1) {
    tokens_ -= 1;
    return 0;
  }
  return static_cast<uint32_t>(std::ceil((1 - tokens_) / per_ms));
}

} // namespace workshatch::relay

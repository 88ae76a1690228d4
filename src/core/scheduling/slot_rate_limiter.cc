#include "core/scheduling/slot_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace workshatch::relay {

namespace {

constexpr double kMsPerSecond = 1000;
/// Fraction of the rate at which an owner grants slots while another owner may grant them too. Also
/// the lowest rate, in requests per second.
constexpr double kHalf = 0.5;
/// Maximum burst, as a fraction of the requests that are granted in a second.
constexpr double kMaxBurstFraction = 0.5;

} // namespace

RateLimit rateLimitFor(double per_s, double factor, double slack) {
  const double max_per_second = per_s * factor + slack;
  const double owners_rate_factor = 1 + kHalf;
  RateLimit limit;
  // The bucket must hold at least one request.
  limit.per_s = std::min(per_s, std::max((max_per_second - 1) / owners_rate_factor, kHalf));
  limit.burst = std::max(1.0, std::min(max_per_second - owners_rate_factor * limit.per_s,
                                       kMaxBurstFraction * limit.per_s));
  return limit;
}

uint32_t SlotRateLimiter::take(const RateLimit& limit, bool owner_overlap, int64_t now_ms) {
  const double per_ms = limit.per_s * (owner_overlap ? kHalf : 1) / kMsPerSecond;
  const double burst = owner_overlap ? 1 : limit.burst;
  tokens_ = std::min(tokens_ + per_ms * static_cast<double>(now_ms - filled_ms_), burst);
  filled_ms_ = now_ms;
  if (tokens_ >= 1) {
    tokens_ -= 1;
    return 0;
  }
  return static_cast<uint32_t>(std::ceil((1 - tokens_) / per_ms));
}

} // namespace workshatch::relay

/// @file
/// How often relays renew their leases. Renewals and their answers also carry loads.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace workshatch::relay {

/// Shortest period. A relay's data on the others' loads is one to two periods old. With 250 ms, ten
/// relays sent 3 to 6 in 100 requests over the load cap in the worst five seconds of quiet days;
/// with 100 ms, half as many, and on overload days 2 in 100 more of the requests were served.
inline constexpr int64_t kRenewalPeriodMs = 100;

/// The period grows by this much for each relay of the fleet, so that all relays together cost the
/// leader the same whatever their number: 333 renewals per second.
inline constexpr int64_t kPeriodMsPerRelay = 3;

/// Longest period, so that a lease of some seconds outlasts two periods.
inline constexpr int64_t kMaxRenewalPeriodMs = 1200;

/// @return the renewal period for a fleet of this size in milliseconds, between `min_ms` and
/// `kMaxRenewalPeriodMs`.
inline int64_t renewalPeriodForFleetMs(int64_t min_ms, size_t relays) {
  return std::clamp(static_cast<int64_t>(relays) * kPeriodMsPerRelay, min_ms, kMaxRenewalPeriodMs);
}

} // namespace workshatch::relay

/// @file
/// How often relays renew their leases, and with them tell and learn loads.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace workshatch::relay {

/// What a relay knows of the others' loads is one to two periods old. With 250 ms ten relays sent 3
/// to 6 in 100 requests over the load cap in the worst five seconds of quiet days, with 100 ms half
/// as many; on overload days 2 in 100 more of the requests were served.
inline constexpr int64_t kRenewalPeriodMs = 100;

/// Periods grow with the fleet by so much for each relay, so that all relays together cost the
/// leader the same however many there are: 333 renewals a second.
inline constexpr int64_t kPeriodMsPerRelay = 3;

/// The longest period, so that a lease of some seconds outlives two of them.
inline constexpr int64_t kMaxRenewalPeriodMs = 1200;

/// @return `least_ms`, or more in a large fleet, up to `kMaxRenewalPeriodMs`.
inline int64_t renewalPeriodForFleetMs(int64_t least_ms, size_t relays) {
  return std::clamp(static_cast<int64_t>(relays) * kPeriodMsPerRelay, least_ms,
                    kMaxRenewalPeriodMs);
}

} // namespace workshatch::relay

/// @file
/// How long a request may wait at a relay that has just started for its first lease.
#pragma once

#include <algorithm>
#include <cstdint>

namespace workshatch::relay {

/// A relay that starts beside a group that leads has its lease after 5 to 30 ms. After a loss of
/// all processes the group elects a leader within 100 ms, but machines come back one after the
/// other: leases came 50 to 560 ms after the relays' start, by the logs of ten relays after a loss
/// of power.
inline constexpr int64_t kFirstLeaseExpectedMs = 600;

/// Part of a caller's patience for which its request may wait. Patience is 6 to 33 times the
/// objective on the deployments known, so the wait takes a fifth of the objective to all of it. A
/// larger part would bring more answers late that another relay could have given in time.
inline constexpr double kFirstLeaseWaitFraction = 0.03;

/// @param since_start_ms time since the relay's process started
/// @param patience_ms time for which the caller waits at most
/// @return milliseconds; zero: no lease is expected so soon that to wait serves the caller
inline int64_t firstLeaseWaitMs(int64_t since_start_ms, int64_t patience_ms) {
  const auto allowed_ms =
      static_cast<int64_t>(kFirstLeaseWaitFraction * static_cast<double>(patience_ms));
  return std::clamp<int64_t>(kFirstLeaseExpectedMs - since_start_ms, 0,
                             std::max<int64_t>(allowed_ms, 0));
}

} // namespace workshatch::relay

/// @file
/// How long a request may wait for the first lease of a relay that has just started.
#pragma once

#include <algorithm>
#include <cstdint>

namespace workshatch::relay {

/// Time after the start of a relay within which its first lease is expected. When the group has a
/// leader, the lease arrives after 5 to 30 ms. After a loss of all processes the group elects a
/// leader within 100 ms, but machines come back one after the other: in the logs of ten relays
/// after a power loss, leases arrived 50 to 560 ms after the relays' start.
inline constexpr int64_t kFirstLeaseExpectedMs = 600;

/// Fraction of a caller's timeout for which its request may wait. Timeouts in use are 6 to
/// 33 times the objective, so the wait takes between a fifth of the objective and all of it. A
/// larger fraction would make more answers late that another relay could have given in time.
inline constexpr double kFirstLeaseWaitFraction = 0.03;

/// @param since_start_ms time since the relay's process started
/// @param caller_timeout_ms maximum time for which the caller waits
/// @return the time to wait in milliseconds; 0 if no lease is expected soon enough for a wait to
/// help the caller
inline int64_t firstLeaseWaitMs(int64_t since_start_ms, int64_t caller_timeout_ms) {
  const auto allowed_ms =
      static_cast<int64_t>(kFirstLeaseWaitFraction * static_cast<double>(caller_timeout_ms));
  return std::clamp<int64_t>(kFirstLeaseExpectedMs - since_start_ms, 0,
                             std::max<int64_t>(allowed_ms, 0));
}

} // namespace workshatch::relay

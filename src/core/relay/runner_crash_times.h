/// @file
/// Time limits for runner crashes and for requests in quarantine, shared by relays and the leader.
#pragma once

#include <algorithm>
#include <cstdint>

namespace workshatch::relay {

/// Time for which a runner crash is held against the requests that were in progress there. It is
/// longer than a client waits between two attempts of a request, and short enough that three losses
/// of runners on an ordinary day are not held against a request that is sent once an hour.
inline constexpr int64_t kCrashWindowMs = 600'000;

/// Time for which a request stays in quarantine. A request that keeps crashing runners crashes
/// three of them per hour; one that was blamed wrongly is served again after this time.
inline constexpr int64_t kQuarantineMs = 3'600'000;

/// @param since_ms when the request was put into quarantine; both times are wall time in
/// milliseconds
/// @return remaining time in quarantine, at least one second, because clocks differ.
inline uint32_t quarantineLeftMs(uint64_t since_ms, uint64_t now_ms) {
  constexpr int64_t kMinMs = 1000;
  const auto past_ms = static_cast<int64_t>(now_ms) - static_cast<int64_t>(since_ms);
  return static_cast<uint32_t>(std::clamp(kQuarantineMs - past_ms, kMinMs, kQuarantineMs));
}

} // namespace workshatch::relay

/// @file
/// Times that relays and the leader share about ends of runners and requests in quarantine.
#pragma once

#include <algorithm>
#include <cstdint>

namespace workshatch::relay {

/// An end of a runner is held against the requests that were in progress there for so long. Longer
/// than a client waits between two tries of one request; short enough that three losses of runners
/// on an ordinary day are not held against a request that is sent once an hour.
inline constexpr int64_t kCrashWindowMs = 600'000;

/// A request stays in quarantine for so long: of one that goes on ending runners, three of them are
/// lost in an hour; one that was blamed wrongly is served again after it.
inline constexpr int64_t kQuarantineMs = 3'600'000;

/// @param since_ms when the request came into quarantine; both are wall time in milliseconds
/// @return for how long the request stays in quarantine, a second at least: clocks differ.
inline uint32_t quarantineLeftMs(uint64_t since_ms, uint64_t now_ms) {
  constexpr int64_t kLeastMs = 1000;
  const auto past_ms = static_cast<int64_t>(now_ms) - static_cast<int64_t>(since_ms);
  return static_cast<uint32_t>(std::clamp(kQuarantineMs - past_ms, kLeastMs, kQuarantineMs));
}

} // namespace workshatch::relay

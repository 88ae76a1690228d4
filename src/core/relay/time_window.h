/// @file
/// Times of events within a sliding window.
#pragma once

#include <cstdint>
#include <deque>

namespace workshatch::relay {

/// Drops the times up to `oldest_ms`; times are in order.
inline void dropUntil(std::deque<int64_t>& times, int64_t oldest_ms) {
  while (!times.empty() && times.front() <= oldest_ms) {
    times.pop_front();
  }
}

} // namespace workshatch::relay

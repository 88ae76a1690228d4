/// @file
/// Times of events within a sliding window.
#pragma once

#include <cstdint>
#include <deque>

namespace workshatch::relay {

/// Drops the times up to and including `oldest_ms` from a list in ascending order.
inline void dropUntil(std::deque<int64_t>& times, int64_t oldest_ms) {
  while (!times.empty() && times.front() <= oldest_ms) {
    times.pop_front();
  }
}

} // namespace workshatch::relay

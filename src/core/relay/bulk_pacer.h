/// @file
/// Rate limiter for the large frames of a leader: lists and configurations.
#pragma once

#include <algorithm>
#include <cstdint>

namespace workshatch::relay {

/// A token bucket of bytes that may go into debt: a frame may be sent while the bucket holds
/// tokens, and its whole size is then deducted.
///
/// Load pattern: a list of 3,000 runners for 300 relays is 10 MB. Sent at once, it occupied the
/// leader's link of 100 Mbit/s for 0.9 s; heartbeats queued behind it, another replica became
/// leader after 0.25 s and sent the list again, and this repeated every 1.2 s. With the pacer, a
/// heartbeat waits for one burst at most.
///
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class BulkPacer {
public:
  /// @param link_mbps bandwidth of the machine's link in Mbit/s
  explicit BulkPacer(double link_mbps)
      : bytes_per_ms_(kLinkFraction * link_mbps * kBytesPerMsOfMbps),
        burst_bytes_(bytes_per_ms_ * kBurstMs), tokens_(burst_bytes_) {}

  /// @return whether a large frame may be sent now.
  bool ready(int64_t now_ms) {
    if (now_ms > filled_ms_) {
      const double refill_bytes = bytes_per_ms_ * static_cast<double>(now_ms - filled_ms_);
      tokens_ = std::min(tokens_ + refill_bytes, burst_bytes_);
      filled_ms_ = now_ms;
    }
    return tokens_ > 0;
  }

  void spend(size_t bytes) { tokens_ -= static_cast<double>(bytes); }

private:
  /// Fraction of the link for large frames; the rest is for heartbeats, renewals and the relay on
  /// the same machine.
  static constexpr double kLinkFraction = 0.7;
  static constexpr double kBytesPerMsOfMbps = 125;
  /// Duration of a burst at the paced rate: a sixth of the shortest election timeout.
  static constexpr double kBurstMs = 50;

  const double bytes_per_ms_;
  const double burst_bytes_;
  double tokens_;
  int64_t filled_ms_ = 0;
};

} // namespace workshatch::relay

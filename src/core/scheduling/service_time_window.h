/// @file
/// The use of one plain runner's slots, and the requests that ended there, over a sliding window.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace workshatch::relay {

/// Measures how long a request of a plain service uses a slot of one runner, and how many requests
/// fail there.
///
/// The service time is the time for which slots were in use, added up over the slots, divided by
/// the number of requests that ended. Time that requests spend in the runner's queue is not part of
/// it, as long as no more slots than the runner has are recorded as in use.
///
/// The window is 2 s. While fewer than 5 requests ended in it, it is extended to as much as 10 s: a
/// runner that is so slow that it gets one request at a time would otherwise have no service time,
/// and would get requests as if it were as fast as the others.
///
/// Guarantee: constant memory. A lost report of ended requests loses only its own samples.
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class ServiceTimeWindow {
public:
  /// @param now_ms start of the measurement
  explicit ServiceTimeWindow(int64_t now_ms) : measured_since_ms_(now_ms), updated_ms_(now_ms) {}

  /// Records the number of slots that are in use from now on.
  void setSlotsInUse(uint32_t slots_in_use, int64_t now_ms);
  /// Records requests that ended.
  void addEnded(uint32_t completed, uint32_t failed, int64_t now_ms);

  /// @return milliseconds for which a request uses a slot; empty if the measurement began less than
  /// 2 s ago, or if too few requests ended.
  std::optional<double> serviceTimeMs(int64_t now_ms) const;
  /// @return percentage of the requests that ended in the last 2 s that failed; 0 if fewer than 6
  /// ended.
  uint32_t failedPercent(int64_t now_ms) const;

private:
  /// Resolution of the window.
  static constexpr int64_t kBucketMs = 250;
  /// Enough for the longest window, and for the bucket in progress.
  static constexpr size_t kBuckets = 41;

  struct Bucket {
    /// Number of the bucket's period since the start of the clock.
    int64_t period = -1;
    /// Time for which slots were in use, added up over the slots.
    int64_t slot_ms = 0;
    uint32_t completed = 0;
    uint32_t failed = 0;
  };

  /// Sums over some buckets.
  struct Sums {
    int64_t slot_ms = 0;
    uint32_t ended = 0;
    uint32_t failed = 0;

    void add(const Bucket& bucket) {
      slot_ms += bucket.slot_ms;
      ended += bucket.completed + bucket.failed;
      failed += bucket.failed;
    }
  };

  Sums sumsOfWindow(int64_t now_ms) const;
  void extend(Sums& sums, int64_t now_ms) const;
  Bucket& bucketOf(int64_t period);
  const Bucket* findBucket(int64_t period) const;

  std::array<Bucket, kBuckets> buckets_;
  const int64_t measured_since_ms_;
  /// Time up to which the use of slots is contained in the buckets.
  int64_t updated_ms_;
  uint32_t slots_in_use_ = 0;
};

} // namespace workshatch::relay

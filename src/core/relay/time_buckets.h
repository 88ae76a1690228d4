/// @file
/// Histogram buckets for the times of answers, so that relays can report a distribution in a few
/// numbers.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace workshatch::relay {

/// Number of buckets. The last one also counts all longer times, over 45 s.
inline constexpr size_t kTimeBuckets = 34;
/// Number of buckets per doubling of the time.
inline constexpr size_t kBucketsPerDoubling = 2;

/// @return the bucket of a time. Bucket 0 ends at half a millisecond; the upper bound of each
/// further bucket is 1.41 times that of the one before.
inline size_t timeBucketOf(double milliseconds) {
  constexpr double kFirstBucketMs = 0.5;
  if (milliseconds <= kFirstBucketMs) {
    return 0;
  }
  const double doublings = std::log2(milliseconds / kFirstBucketMs);
  const auto bucket = static_cast<size_t>(std::ceil(doublings * kBucketsPerDoubling));
  return std::min(bucket, kTimeBuckets - 1);
}

} // namespace workshatch::relay

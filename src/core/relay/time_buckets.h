/// @file
/// Buckets by which times of answers are counted, so that relays can tell a distribution in a few
/// numbers.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace workshatch::relay {

/// The last one also counts all that is longer: over 45 s.
inline constexpr size_t kTimeBuckets = 34;
/// Buckets after which times have doubled.
inline constexpr size_t kBucketsPerDoubling = 2;

/// @return the bucket of a time: 0 up to half a millisecond, each next one up to 1.41 times the one
/// before.
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

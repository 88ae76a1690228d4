#include "core/scheduling/service_time_window.h"

#include <algorithm>

namespace workshatch::relay {

namespace {

/// Length of the window: long enough for some dozen requests of a runner, short enough to follow a
/// runner whose speed changes.
constexpr int64_t kWindowMs = 2000;
/// Length up to which the window is extended.
constexpr int64_t kLongestWindowMs = 10'000;
/// Minimum numbers of ended requests for a service time, and for a failure rate.
constexpr uint32_t kMinEndedForServiceTime = 5;
constexpr uint32_t kMinEndedForFailureRate = 6;
constexpr uint32_t kPercent = 100;

} // namespace

ServiceTimeWindow::Bucket& ServiceTimeWindow::bucketOf(int64_t period) {
  Bucket& bucket = buckets_[static_cast<size_t>(period) % kBuckets];
  if (bucket.period != period) {
    bucket = Bucket{.period = period};
  }
  return bucket;
}

const ServiceTimeWindow::Bucket* ServiceTimeWindow::findBucket(int64_t period) const {
  if (period < 0) {
    return nullptr;
  }
  const Bucket& bucket = buckets_[static_cast<size_t>(period) % kBuckets];
  return bucket.period == period ? &bucket : nullptr;
}

void ServiceTimeWindow::setSlotsInUse(uint32_t slots_in_use, int64_t now_ms) {
  int64_t from_ms = std::max(updated_ms_, now_ms - kLongestWindowMs);
  while (slots_in_use_ != 0 && from_ms < now_ms) {
    const int64_t period = from_ms / kBucketMs;
    const int64_t to_ms = std::min(now_ms, (period + 1) * kBucketMs);
    bucketOf(period).slot_ms += slots_in_use_ * (to_ms - from_ms);
    from_ms = to_ms;
  }
  updated_ms_ = std::max(updated_ms_, now_ms);
  slots_in_use_ = slots_in_use;
}

void ServiceTimeWindow::addEnded(uint32_t completed, uint32_t failed, int64_t now_ms) {
  Bucket& bucket = bucketOf(now_ms / kBucketMs);
  bucket.completed += completed;
  bucket.failed += failed;
}

ServiceTimeWindow::Sums ServiceTimeWindow::sumsOfWindow(int64_t now_ms) const {
  Sums sums;
  for (int64_t age = 0; age <= kWindowMs / kBucketMs; ++age) {
    if (const Bucket* bucket = findBucket(now_ms / kBucketMs - age)) {
      sums.add(*bucket);
    }
  }
  return sums;
}

/// Adds older buckets until enough requests ended. The oldest of these requests also used its slot
/// before the bucket in which it ended, so buckets are added up to the next older end of a request.
void ServiceTimeWindow::extend(Sums& sums, int64_t now_ms) const {
  for (int64_t age = kWindowMs / kBucketMs + 1; age <= kLongestWindowMs / kBucketMs; ++age) {
    const Bucket* bucket = findBucket(now_ms / kBucketMs - age);
    if (bucket == nullptr) {
      continue;
    }
    if (sums.ended >= kMinEndedForServiceTime && bucket->completed + bucket->failed != 0) {
      return;
    }
    sums.add(*bucket);
  }
}

std::optional<double> ServiceTimeWindow::serviceTimeMs(int64_t now_ms) const {
  if (now_ms - measured_since_ms_ < kWindowMs) {
    // Requests that were in progress at the start of the measurement were counted with a part of
    // their time only.
    return std::nullopt;
  }
  Sums sums = sumsOfWindow(now_ms);
  if (sums.ended < kMinEndedForServiceTime) {
    extend(sums, now_ms);
  }
  if (sums.ended < kMinEndedForServiceTime) {
    return std::nullopt;
  }
  const int64_t not_added_ms = std::clamp<int64_t>(now_ms - updated_ms_, 0, kLongestWindowMs);
  return static_cast<double>(sums.slot_ms + slots_in_use_ * not_added_ms) / sums.ended;
}

uint32_t ServiceTimeWindow::failedPercent(int64_t now_ms) const {
  const Sums sums = sumsOfWindow(now_ms);
  return sums.ended < kMinEndedForFailureRate ? 0 : kPercent * sums.failed / sums.ended;
}

} // namespace workshatch::relay

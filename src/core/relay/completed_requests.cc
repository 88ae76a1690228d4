#include "core/relay/completed_requests.h"

#include <utility>

namespace workshatch::relay {

namespace {

/// Several times the duration of the longest request, so that a request which is repeated
/// continuously is always known.
constexpr int64_t kPeriodMs = 30'000;
/// A relay with 10 requests per second sees some 300 in a period; 4,096 take some 250 kB.
constexpr size_t kMaxInPeriod = 4096;

} // namespace

void CompletedRequests::rotate(int64_t now_ms) {
  if (now_ms - period_began_ms_ < kPeriodMs && newer_.size() < kMaxInPeriod) {
    return;
  }
  // After a long pause the newer generation has expired as well.
  const bool both_old = now_ms - period_began_ms_ >= 2 * kPeriodMs;
  older_ = both_old ? std::set<RequestIdentity>() : std::exchange(newer_, {});
  newer_.clear();
  period_began_ms_ = now_ms;
}

void CompletedRequests::record(const RequestIdentity& request, int64_t now_ms) {
  rotate(now_ms);
  newer_.insert(request);
}

bool CompletedRequests::contains(const RequestIdentity& request, int64_t now_ms) {
  rotate(now_ms);
  return newer_.contains(request) || older_.contains(request);
}

} // namespace workshatch::relay

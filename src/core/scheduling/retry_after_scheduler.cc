#include "core/scheduling/retry_after_scheduler.h"

#include <algorithm>

#include "core/relay/time_window.h"

namespace workshatch::relay {

namespace {

/// The rate of completions is measured over this time: a few times the duration of an engine's
/// request.
constexpr int64_t kRateWindowMs = 2000;
/// Minimum delay if the caller has enough time left: a relay's data on the load of the others is no
/// newer than this.
constexpr int64_t kMinDelayMs = 250;
/// Fraction of the released slots for callers that retry; the rest is for new callers.
constexpr double kRetryFraction = 0.5;
/// Maximum delay as a fraction of the caller's time left: a caller that waits for longer than a
/// third of it gives up, and some of the time is spent in transit.
constexpr double kMaxDelayFraction = 0.3;

} // namespace

void RetryAfterScheduler::recordCompletion(const std::string& service, int64_t now_ms) {
  std::deque<int64_t>& completed_ms = services_[service].completed_ms;
  completed_ms.push_back(now_ms);
  dropUntil(completed_ms, now_ms - kRateWindowMs - 1);
}

uint32_t RetryAfterScheduler::nextDelayMs(const std::string& service, int64_t left_ms,
                                          int64_t now_ms) {
  Service& state = services_[service];
  std::deque<int64_t>& completed_ms = state.completed_ms;
  dropUntil(completed_ms, now_ms - kRateWindowMs - 1);
  const double retries = std::max(kRetryFraction * static_cast<double>(completed_ms.size()), 1.0);
  const auto gap_ms = static_cast<int64_t>(static_cast<double>(kRateWindowMs) / retries);
  const auto latest_ms = static_cast<int64_t>(kMaxDelayFraction * static_cast<double>(left_ms));
  const int64_t scheduled_ms = std::max(state.last_retry_ms + gap_ms, now_ms + kMinDelayMs);
  if (scheduled_ms - now_ms <= latest_ms) {
    // A caller that must retry before its turn does not delay the others.
    state.last_retry_ms = scheduled_ms;
  }
  return static_cast<uint32_t>(std::max<int64_t>(std::min(scheduled_ms - now_ms, latest_ms), 1));
}

} // namespace workshatch::relay

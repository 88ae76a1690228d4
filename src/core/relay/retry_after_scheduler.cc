#include "core/relay/retry_after_scheduler.h"

#include <algorithm>

#include "core/relay/time_window.h"

namespace workshatch::relay {

namespace {

/// The pace is taken over this time: a few times as long as a request of an engine lasts.
constexpr int64_t kPaceWindowMs = 2000;
/// Nobody comes back sooner: what the other relays do is known no faster than this.
constexpr int64_t kSoonestMs = 250;
/// Part of the places that become free which those who come back may count on; new callers take the
/// rest.
constexpr double kPartForReturns = 0.5;
/// A caller that waits for longer than a third of its time gives up; some of it is on the way.
constexpr double kMostOfTimeLeft = 0.3;

} // namespace

void RetryAfterScheduler::recordCompletion(const std::string& service, int64_t now_ms) {
  std::deque<int64_t>& ended = services_[service].ended;
  ended.push_back(now_ms);
  dropUntil(ended, now_ms - kPaceWindowMs - 1);
}

uint32_t RetryAfterScheduler::nextDelayMs(const std::string& service, int64_t left_ms,
                                          int64_t now_ms) {
  Service& state = services_[service];
  std::deque<int64_t>& ended = state.ended;
  dropUntil(ended, now_ms - kPaceWindowMs - 1);
  const double returns = std::max(kPartForReturns * static_cast<double>(ended.size()), 1.0);
  const auto gap_ms = static_cast<int64_t>(static_cast<double>(kPaceWindowMs) / returns);
  const auto latest_ms = static_cast<int64_t>(kMostOfTimeLeft * static_cast<double>(left_ms));
  const int64_t wanted_ms = std::max(state.last_return_ms + gap_ms, now_ms + kSoonestMs);
  if (wanted_ms - now_ms <= latest_ms) {
    // A caller that has to come sooner than its turn does not delay the others.
    state.last_return_ms = wanted_ms;
  }
  return static_cast<uint32_t>(std::max<int64_t>(std::min(wanted_ms - now_ms, latest_ms), 1));
}

} // namespace workshatch::relay

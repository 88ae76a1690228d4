#include "core/relay/request_durations.h"

#include <algorithm>
#include <utility>

namespace workshatch::relay {

/// Begins a new period if the current one has ended. The one before it is forgotten.
void RequestDurations::beginPeriods(int64_t now_ms) {
  const int64_t age_ms = now_ms - period_began_ms_;
  if (age_ms < kPeriodMs) {
    return;
  }
  previous_ = age_ms < 2 * kPeriodMs ? std::move(current_) : std::map<std::string, Route>();
  current_.clear();
  period_began_ms_ = now_ms;
}

RequestDurations::Route& RequestDurations::currentOf(const std::string& route, int64_t duration_ms,
                                                     int64_t now_ms) {
  beginPeriods(now_ms);
  const auto [entry, is_new] = current_.try_emplace(route);
  Route& durations = entry->second;
  const int64_t began_ms = now_ms - duration_ms;
  durations.since_ms = is_new ? began_ms : std::min(durations.since_ms, began_ms);
  durations.longest_ms = std::max(durations.longest_ms, duration_ms);
  return durations;
}

void RequestDurations::recordEnded(const std::string& route, int64_t duration_ms, int64_t now_ms) {
  ++currentOf(route, duration_ms, now_ms).ended;
}

void RequestDurations::recordInProgress(const std::string& route, int64_t duration_ms,
                                        int64_t now_ms) {
  currentOf(route, duration_ms, now_ms);
}

std::optional<int64_t> RequestDurations::expectedLongestMs(const std::string& route,
                                                           int64_t limit_ms, int64_t now_ms) {
  beginPeriods(now_ms);
  Route both{.since_ms = now_ms};
  for (const auto* period : {&current_, &previous_}) {
    const auto found = period->find(route);
    if (found != period->end()) {
      both.ended += found->second.ended;
      both.longest_ms = std::max(both.longest_ms, found->second.longest_ms);
      both.since_ms = std::min(both.since_ms, found->second.since_ms);
    }
  }
  const bool includes_long_ones = now_ms - both.since_ms >= std::min(limit_ms, kPeriodMs);
  if (both.ended < kMinRequests || !includes_long_ones) {
    return std::nullopt;
  }
  return static_cast<int64_t>(kMargin * static_cast<double>(both.longest_ms));
}

} // namespace workshatch::relay

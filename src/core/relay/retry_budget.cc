#include "core/relay/retry_budget.h"

namespace workshatch::relay {

namespace {

/// Part of the budget that is spent; the rest is for windows that begin elsewhere.
constexpr double kSpentPart = 0.7;

void dropBefore(std::deque<int64_t>& times, int64_t oldest_ms) {
  while (!times.empty() && times.front() < oldest_ms) {
    times.pop_front();
  }
}

} // namespace

void RetryBudget::forgetOld(Spending& spending, int64_t now_ms) const {
  dropBefore(spending.requests, now_ms - options_.window_ms);
  dropBefore(spending.repeats, now_ms - options_.window_ms);
}

void RetryBudget::noteRequest(const std::string& service, int64_t now_ms) {
  Spending& spending = services_[service];
  forgetOld(spending, now_ms);
  spending.requests.push_back(now_ms);
}

bool RetryBudget::takeRepeat(const std::string& service, int64_t now_ms) {
  Spending& spending = services_[service];
  forgetOld(spending, now_ms);
  const double share = options_.slack / static_cast<double>(relays_);
  const double earned = options_.ratio * static_cast<double>(spending.requests.size());
  if (static_cast<double>(spending.repeats.size()) + 1 > kSpentPart * (share + earned)) {
    return false;
  }
  spending.repeats.push_back(now_ms);
  return true;
}

size_t RetryBudget::repeats(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.repeats.size();
}

} // namespace workshatch::relay

#include "core/relay/retry_budget.h"

#include <algorithm>

#include "core/relay/time_window.h"

namespace workshatch::relay {

namespace {

/// Part of the budget that is spent. The rest covers relays that have not yet heard how many there
/// are now: with one in four of them unheard of, the sum of all shares is 1.33 times the slack.
constexpr double kSpentPart = 0.7;
/// A bucket that is full and refills for a window gives its content twice.
constexpr double kBucketsInWindow = 2;

} // namespace

void RetryBudget::setRelays(size_t relays, int64_t now_ms) {
  const size_t told = std::max<size_t>(relays, 1);
  if (relays_ == 0) {
    known_since_ms_ = now_ms;
  }
  if (told >= relays_) {
    for (auto& [service, spending] : services_) {
      refill(spending, now_ms);
    }
    relays_ = told;
    fewer_relays_ = 0;
    return;
  }
  if (fewer_relays_ == 0) {
    fewer_since_ms_ = now_ms;
  }
  fewer_relays_ = std::max(fewer_relays_, told);
}

/// Takes over the lower number once it has been told for a whole window.
void RetryBudget::lowerRelays(int64_t now_ms) {
  if (fewer_relays_ == 0 || now_ms - fewer_since_ms_ < options_.window_ms) {
    return;
  }
  relays_ = fewer_relays_;
  fewer_relays_ = 0;
}

double RetryBudget::mostTokens() const {
  if (relays_ == 0) {
    return 0;
  }
  return kSpentPart * options_.slack / static_cast<double>(relays_) / kBucketsInWindow;
}

void RetryBudget::refill(Spending& spending, int64_t now_ms) const {
  const int64_t since_ms = std::max(spending.filled_at_ms, known_since_ms_);
  const double part =
      static_cast<double>(now_ms - since_ms) / static_cast<double>(options_.window_ms);
  spending.tokens = std::min(spending.tokens + std::max(part, 0.0) * mostTokens(), mostTokens());
  spending.filled_at_ms = now_ms;
}

void RetryBudget::forgetOld(Spending& spending, int64_t now_ms) const {
  dropUntil(spending.requests, now_ms - options_.window_ms);
  dropUntil(spending.repeats, now_ms - options_.window_ms);
}

void RetryBudget::recordRequest(const std::string& service, int64_t now_ms) {
  Spending& spending = services_[service];
  forgetOld(spending, now_ms);
  spending.requests.push_back(now_ms);
}

/// Takes a repeat where the relay's share of the slack is less than one.
bool RetryBudget::takeByDraw(Spending& spending, int64_t now_ms) const {
  const double known_part =
      static_cast<double>(now_ms - known_since_ms_) / static_cast<double>(options_.window_ms);
  const double share =
      options_.slack / static_cast<double>(relays_) * std::clamp(known_part, 0.0, 1.0);
  const double earned = options_.ratio * static_cast<double>(spending.requests.size());
  const double allowed = kSpentPart * (share + earned) + options_.draw;
  if (static_cast<double>(spending.repeats.size()) + 1 > allowed) {
    return false;
  }
  spending.repeats.push_back(now_ms);
  return true;
}

bool RetryBudget::takeRetry(const std::string& service, int64_t now_ms) {
  lowerRelays(now_ms);
  Spending& spending = services_[service];
  forgetOld(spending, now_ms);
  refill(spending, now_ms);
  if (relays_ != 0 && mostTokens() < 1) {
    return takeByDraw(spending, now_ms);
  }
  const double earned = kSpentPart * options_.ratio * static_cast<double>(spending.requests.size());
  if (static_cast<double>(spending.repeats.size()) + 1 <= earned) {
    spending.repeats.push_back(now_ms);
    return true;
  }
  if (spending.tokens < 1) {
    return false;
  }
  spending.tokens -= 1;
  return true;
}

} // namespace workshatch::relay

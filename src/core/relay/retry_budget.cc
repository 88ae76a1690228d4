#include "core/relay/retry_budget.h"

#include <algorithm>

#include "core/relay/time_window.h"

namespace workshatch::relay {

namespace {

/// Fraction of the budget that is spent. The rest covers relays that do not yet know the current
/// number of relays: if they do not know of one in four, the sum of all shares is 1.33 times the
/// slack.
constexpr double kSpentFraction = 0.7;
/// A bucket that starts full and refills during one window gives its capacity twice.
constexpr double kBucketsPerWindow = 2;

} // namespace

void RetryBudget::setRelays(size_t relays, int64_t now_ms) {
  const size_t reported = std::max<size_t>(relays, 1);
  if (relays_ == 0) {
    known_since_ms_ = now_ms;
  }
  if (reported >= relays_) {
    for (auto& [service, spending] : services_) {
      refill(spending, now_ms);
    }
    relays_ = reported;
    fewer_relays_ = 0;
    return;
  }
  if (fewer_relays_ == 0) {
    fewer_since_ms_ = now_ms;
  }
  fewer_relays_ = std::max(fewer_relays_, reported);
}

/// Adopts a lower number of relays once all reports of a whole window were lower.
void RetryBudget::adoptFewerRelays(int64_t now_ms) {
  if (fewer_relays_ == 0 || now_ms - fewer_since_ms_ < options_.window_ms) {
    return;
  }
  relays_ = fewer_relays_;
  fewer_relays_ = 0;
}

void RetryBudget::recordConfirmed(int64_t sent_ms) {
  const bool lapsed = confirmed_ms_ && sent_ms - *confirmed_ms_ > options_.window_ms;
  confirmed_ms_ = sent_ms;
  if (!lapsed) {
    return;
  }
  known_since_ms_ = sent_ms;
  for (auto& [service, spending] : services_) {
    spending.tokens = 0;
  }
}

/// @return whether this relay still has its share of the slack.
bool RetryBudget::sharesSlack(int64_t now_ms) const {
  return relays_ != 0 && confirmed_ms_ && now_ms - *confirmed_ms_ <= options_.window_ms;
}

double RetryBudget::bucketCapacity() const {
  if (relays_ == 0) {
    return 0;
  }
  return kSpentFraction * options_.slack / static_cast<double>(relays_) / kBucketsPerWindow;
}

void RetryBudget::refill(Spending& spending, int64_t now_ms) const {
  const int64_t since_ms = std::max(spending.refilled_ms, known_since_ms_);
  const double elapsed_fraction =
      static_cast<double>(now_ms - since_ms) / static_cast<double>(options_.window_ms);
  spending.tokens = std::min(spending.tokens + std::max(elapsed_fraction, 0.0) * bucketCapacity(),
                             bucketCapacity());
  spending.refilled_ms = now_ms;
}

void RetryBudget::dropExpired(Spending& spending, int64_t now_ms) const {
  dropUntil(spending.requests, now_ms - options_.window_ms);
  dropUntil(spending.retries, now_ms - options_.window_ms);
}

void RetryBudget::recordRequest(const std::string& service, int64_t now_ms) {
  Spending& spending = services_[service];
  dropExpired(spending, now_ms);
  spending.requests.push_back(now_ms);
}

/// Takes a retry where the relay's share of the slack is less than one retry.
bool RetryBudget::takeByDraw(Spending& spending, int64_t now_ms) const {
  const double known_fraction =
      static_cast<double>(now_ms - known_since_ms_) / static_cast<double>(options_.window_ms);
  const double slack = sharesSlack(now_ms) ? options_.slack : 0;
  const double share = slack / static_cast<double>(relays_) * std::clamp(known_fraction, 0.0, 1.0);
  const double earned = options_.ratio * static_cast<double>(spending.requests.size());
  const double allowed = kSpentFraction * (share + earned) + options_.draw;
  if (static_cast<double>(spending.retries.size()) + 1 > allowed) {
    return false;
  }
  spending.retries.push_back(now_ms);
  return true;
}

bool RetryBudget::takeRetry(const std::string& service, int64_t now_ms) {
  adoptFewerRelays(now_ms);
  Spending& spending = services_[service];
  dropExpired(spending, now_ms);
  refill(spending, now_ms);
  if (relays_ != 0 && bucketCapacity() < 1) {
    return takeByDraw(spending, now_ms);
  }
  const double earned =
      kSpentFraction * options_.ratio * static_cast<double>(spending.requests.size());
  if (static_cast<double>(spending.retries.size()) + 1 <= earned) {
    spending.retries.push_back(now_ms);
    return true;
  }
  if (!sharesSlack(now_ms) || spending.tokens < 1) {
    return false;
  }
  spending.tokens -= 1;
  return true;
}

void RetryBudget::returnRetry(const std::string& service) {
  Spending& spending = services_[service];
  if (bucketCapacity() >= 1) {
    // Also for a retry that requests have earned: the sum of both kinds stays the same.
    spending.tokens = std::min(spending.tokens + 1, bucketCapacity());
  } else if (!spending.retries.empty()) {
    spending.retries.pop_back();
  }
}

} // namespace workshatch::relay

#include "core/relay/relay_monitor.h"

#include <algorithm>

namespace workshatch::relay {

namespace {

/// A relay that sends no renewal for this many periods is silent.
constexpr double kSilentPeriods = 3.6;
/// Lower limit of that time: in a small fleet the periods are short, and a link that loses packets
/// may miss several of them.
constexpr int64_t kMinSilentMs = 500;
/// A relay that was asked to renew does so within this time: some hundred round trips, and several
/// times as long as the longest step of a busy relay.
constexpr int64_t kRenewalAnswerMs = 600;
/// A relay that renewed this recently was only busy when another relay got no answer from it.
constexpr int64_t kRecentRenewalMs = 100;

} // namespace

bool RelayMonitor::reportUnanswered(const std::string& relay, int64_t now_ms) {
  const auto found = relays_.find(relay);
  if (found == relays_.end()) {
    return false;
  }
  RelayRecord& record = found->second;
  if (record.renewal_requested_ms != 0 || now_ms - record.renewed_ms < kRecentRenewalMs) {
    return false;
  }
  record.renewal_requested_ms = now_ms;
  return true;
}

std::vector<std::string> RelayMonitor::takeSilent(int64_t period_ms, int64_t now_ms) {
  const int64_t silent_ms =
      std::max(kMinSilentMs, static_cast<int64_t>(kSilentPeriods * static_cast<double>(period_ms)));
  std::vector<std::string> silent;
  for (const auto& [relay, record] : relays_) {
    const bool overdue = now_ms - record.renewed_ms > silent_ms;
    const bool unanswered =
        record.renewal_requested_ms != 0 && now_ms - record.renewal_requested_ms > kRenewalAnswerMs;
    if (overdue || unanswered) {
      silent.push_back(relay);
    }
  }
  for (const std::string& relay : silent) {
    relays_.erase(relay);
  }
  return silent;
}

} // namespace workshatch::relay

#include "core/relay/relay_monitor.h"

#include <algorithm>

namespace workshatch::relay {

namespace {

/// A relay that renews nothing for so many periods is silent.
constexpr double kSilentPeriods = 3.6;
/// A link that loses packets may miss some periods of a small fleet.
constexpr int64_t kLeastSilentMs = 500;
/// A relay that was asked to renew does so within this time: some hundred round trips, and several
/// times as long as the longest step of a busy relay.
constexpr int64_t kAnswerMs = 600;
/// A relay that renewed so lately was busy when another got no answer from it.
constexpr int64_t kHeardLatelyMs = 100;

} // namespace

bool RelayMonitor::reportUnanswered(const std::string& relay, int64_t now_ms) {
  const auto found = watched_.find(relay);
  if (found == watched_.end()) {
    return false;
  }
  Watched& watched = found->second;
  if (watched.asked_ms != 0 || now_ms - watched.renewed_ms < kHeardLatelyMs) {
    return false;
  }
  watched.asked_ms = now_ms;
  return true;
}

std::vector<std::string> RelayMonitor::takeSilent(int64_t period_ms, int64_t now_ms) {
  const int64_t silent_ms = std::max(
      kLeastSilentMs, static_cast<int64_t>(kSilentPeriods * static_cast<double>(period_ms)));
  std::vector<std::string> silent;
  for (const auto& [relay, watched] : watched_) {
    const bool missed = now_ms - watched.renewed_ms > silent_ms;
    const bool unanswered = watched.asked_ms != 0 && now_ms - watched.asked_ms > kAnswerMs;
    if (missed || unanswered) {
      silent.push_back(relay);
    }
  }
  for (const std::string& relay : silent) {
    watched_.erase(relay);
  }
  return silent;
}

} // namespace workshatch::relay

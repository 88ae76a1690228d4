#include "daemon/relay/leader_search_report.h"

#include <utility>

namespace workshatch::daemon {

namespace {

/// A leader is ordinarily found in less than this time.
constexpr int64_t kFirstLineMs = 1000;
constexpr int64_t kRepeatPeriodMs = 5000;

} // namespace

void LeaderSearchReport::searching(int64_t now_ms) {
  if (!std::exchange(searching_, true)) {
    since_ms_ = now_ms;
    due_ms_ = now_ms + kFirstLineMs;
    written_ = false;
    outcomes_.clear();
  }
  if (now_ms < due_ms_) {
    return;
  }
  due_ms_ = now_ms + kRepeatPeriodMs;
  written_ = true;
  write_line_("leader_search", {{"search_ms", now_ms - since_ms_}, {"outcomes", outcomes_}});
}

void LeaderSearchReport::tried(const std::string& address, const char* outcome) {
  if (searching_) {
    outcomes_[address] = outcome;
  }
}

void LeaderSearchReport::found(const std::string& address, int64_t now_ms) {
  if (searching_ && written_) {
    write_line_("leader_found", {{"search_ms", now_ms - since_ms_}, {"address", address}});
  }
  searching_ = false;
}

} // namespace workshatch::daemon

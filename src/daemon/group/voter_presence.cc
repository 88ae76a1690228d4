#include "daemon/group/voter_presence.h"

#include <algorithm>

namespace workshatch::daemon {

namespace {

/// A voter that was heard within this time is there; four of the intervals at which voters tell it.
constexpr int64_t kPresentMs = 1000;

} // namespace

void VoterPresence::listen(const std::set<uint64_t>& voters, int64_t now_ms) {
  std::erase_if(last_heard_ms_, [&](const auto& entry) { return !voters.contains(entry.first); });
  for (const uint64_t voter : voters) {
    last_heard_ms_.try_emplace(voter, now_ms);
  }
  const bool paused = listened_ms_ >= 0 && now_ms - listened_ms_ > kMaxPauseMs;
  if (paused || !hearsMajority(now_ms)) {
    countAnew(now_ms);
  }
  listened_ms_ = now_ms;
}

void VoterPresence::stop() {
  listened_ms_ = -1;
  last_heard_ms_.clear();
}

void VoterPresence::heard(uint64_t voter, int64_t now_ms) {
  const auto known = last_heard_ms_.find(voter);
  if (known != last_heard_ms_.end()) {
    known->second = now_ms;
  }
}

int64_t VoterPresence::silentForMs(uint64_t voter, int64_t now_ms) const {
  const auto known = last_heard_ms_.find(voter);
  return known == last_heard_ms_.end() ? 0 : now_ms - known->second;
}

/// @return whether the voters that were heard lately are a majority together with this process.
bool VoterPresence::hearsMajority(int64_t now_ms) const {
  const auto present =
      std::count_if(last_heard_ms_.begin(), last_heard_ms_.end(),
                    [&](const auto& entry) { return now_ms - entry.second < kPresentMs; });
  const size_t voters = last_heard_ms_.size() + 1;
  return static_cast<size_t>(present) + 1 > voters / 2;
}

void VoterPresence::countAnew(int64_t now_ms) {
  for (auto& [voter, last_heard_ms] : last_heard_ms_) {
    last_heard_ms = now_ms;
  }
}

} // namespace workshatch::daemon

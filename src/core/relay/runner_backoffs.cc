#include "core/relay/runner_backoffs.h"

namespace workshatch::relay {

namespace {

/// Number of backoffs from which on expired ones are dropped. Backoffs in force are kept, whatever
/// their number.
constexpr size_t kMaxBackoffs = 4096;
/// Time after which a leaving process has certainly ended.
constexpr int64_t kLeavingRetentionMs = 600'000;

} // namespace

RunnerBackoff RunnerBackoffs::record(uint64_t incarnation, const RunnerNotice& notice,
                                     int64_t now_ms) {
  RunnerBackoff backoff = find(incarnation);
  if (!notice.leaving && !notice.backoff_ms) {
    return backoff;
  }
  backoff.leaving = backoff.leaving || notice.leaving;
  backoff.time.extend(notice.backoff_ms.value_or(0), now_ms);
  if (!backoffs_.contains(incarnation)) {
    dropExpired(now_ms);
  }
  backoffs_[incarnation] = Kept{.backoff = backoff, .recorded_ms = now_ms};
  return backoff;
}

RunnerBackoff RunnerBackoffs::find(uint64_t incarnation) const {
  const auto found = backoffs_.find(incarnation);
  return found == backoffs_.end() ? RunnerBackoff{} : found->second.backoff;
}

void RunnerBackoffs::dropExpired(int64_t now_ms) {
  if (backoffs_.size() < kMaxBackoffs) {
    return;
  }
  std::erase_if(backoffs_, [now_ms](const auto& entry) {
    const Kept& kept = entry.second;
    return kept.backoff.leaving ? now_ms - kept.recorded_ms > kLeavingRetentionMs
                                : !kept.backoff.holds(now_ms);
  });
}

} // namespace workshatch::relay

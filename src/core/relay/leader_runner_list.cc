#include "core/relay/leader_runner_list.h"

#include <algorithm>
#include <utility>

#include "core/relay/runner_entry.h"

namespace workshatch::relay {

namespace {

/// Maximum age of a list that was read without a leader and that a new leader still uses.
constexpr int64_t kFreshMs = 1000;

void sortById(v1::RunnerList& list) {
  std::sort(list.mutable_runners()->begin(), list.mutable_runners()->end(), comesBefore);
}

/// @return whether a later list is the same as an earlier one, apart from cold times that became
/// shorter.
bool sameRunners(const v1::RunnerList& earlier, const v1::RunnerList& later) {
  return std::equal(earlier.runners().begin(), earlier.runners().end(), later.runners().begin(),
                    later.runners().end(), [](const auto& old, const auto& now) {
                      return sameEntry(old, now) && !becameCold(old, now);
                    });
}

bool sameColdTimes(const v1::RunnerList& earlier, const v1::RunnerList& later) {
  return std::equal(earlier.runners().begin(), earlier.runners().end(), later.runners().begin(),
                    later.runners().end(), [](const auto& old, const auto& now) {
                      return old.cold_ms() == now.cold_ms();
                    });
}

} // namespace

void LeaderRunnerList::begin(LeaderVersions& versions, int64_t now_ms) {
  const bool fresh = read_at_ms_ >= 0 && now_ms - read_at_ms_ < kFreshMs;
  if (fresh) {
    list_.set_version(versions.next());
  } else {
    list_.Clear();
  }
  read_at_ms_ = -1;
}

ListChange LeaderRunnerList::updateAsLeader(v1::RunnerList list, LeaderVersions& versions) {
  sortById(list);
  const bool has_list = list_.version() != 0;
  if (has_list && sameRunners(list_, list)) {
    const bool same_cold_times = sameColdTimes(list_, list);
    list.set_version(list_.version());
    list_ = std::move(list);
    return same_cold_times ? ListChange::None : ListChange::ColdTimesReduced;
  }
  list.set_version(versions.next());
  list_ = std::move(list);
  return ListChange::Runners;
}

void LeaderRunnerList::updateWithoutLeader(v1::RunnerList list, int64_t now_ms) {
  sortById(list);
  list_ = std::move(list);
  list_.set_version(0);
  read_at_ms_ = now_ms;
}

} // namespace workshatch::relay

#include "core/relay/led_runner_list.h"

#include <algorithm>
#include <utility>

#include "core/relay/runner_entry.h"

namespace workshatch::relay {

namespace {

/// A list read without a leader counts for this long.
constexpr int64_t kFreshMs = 1000;

void sortById(v1::RunnerList& list) {
  std::sort(list.mutable_runners()->begin(), list.mutable_runners()->end(), comesBefore);
}

bool sameRunners(const v1::RunnerList& left, const v1::RunnerList& right) {
  return std::equal(left.runners().begin(), left.runners().end(), right.runners().begin(),
                    right.runners().end(), sameEntry);
}

} // namespace

void LedRunnerList::begin(LeaderVersions& versions, int64_t now_ms) {
  const bool fresh = read_at_ms_ >= 0 && now_ms - read_at_ms_ < kFreshMs;
  if (fresh) {
    list_.set_version(versions.next());
  } else {
    list_.Clear();
  }
  read_at_ms_ = -1;
}

bool LedRunnerList::readWhileLeading(v1::RunnerList list, LeaderVersions& versions) {
  sortById(list);
  const bool known = list_.version() != 0;
  if (known && sameRunners(list, list_)) {
    return false;
  }
  list.set_version(versions.next());
  list_ = std::move(list);
  return true;
}

void LedRunnerList::readWithoutLeader(v1::RunnerList list, int64_t now_ms) {
  sortById(list);
  list_ = std::move(list);
  list_.set_version(0);
  read_at_ms_ = now_ms;
}

} // namespace workshatch::relay

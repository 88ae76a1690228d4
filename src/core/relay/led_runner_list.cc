#include "core/relay/led_runner_list.h"

#include <algorithm>
#include <utility>

#include <google/protobuf/util/message_differencer.h>

namespace workshatch::relay {

namespace {

/// A list read without a leader counts for this long.
constexpr int64_t kFreshMs = 1000;

void sortById(v1::RunnerList& list) {
  std::sort(list.mutable_runners()->begin(), list.mutable_runners()->end(),
            [](const auto& left, const auto& right) { return left.id() < right.id(); });
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
  list.set_version(list_.version());
  const bool known = list_.version() != 0;
  if (known && google::protobuf::util::MessageDifferencer::Equals(list, list_)) {
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

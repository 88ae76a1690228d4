#include "core/relay/runner_list_history.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "core/compression/deflate.h"
#include "core/relay/runner_entry.h"
#include "core/relay/runner_incarnation.h"

namespace workshatch::relay {

namespace {

constexpr size_t kMaxLists = 8;
/// Minimum number of entries for compressing an update.
constexpr int kMinCompressedEntries = 20;

/// Both lists must be sorted by id.
v1::RunnerListUpdate differenceOf(const v1::RunnerList& base, const v1::RunnerList& target) {
  v1::RunnerListUpdate update;
  auto old = base.runners().begin();
  auto now = target.runners().begin();
  while (old != base.runners().end() || now != target.runners().end()) {
    const bool only_old =
        now == target.runners().end() || (old != base.runners().end() && comesBefore(*old, *now));
    const bool only_now = old == base.runners().end() || (!only_old && comesBefore(*now, *old));
    if (only_old) {
      update.add_removed((old++)->id());
    } else if (only_now) {
      *update.add_changed() = *now++;
    } else {
      if (!sameEntry(*old, *now) || now->cold_ms() != 0) {
        *update.add_changed() = *now;
      }
      ++old;
      ++now;
    }
  }
  return update;
}

void compressLong(v1::RunnerListUpdate& update) {
  if (update.changed_size() < kMinCompressedEntries) {
    return;
  }
  v1::RunnerList changed;
  changed.mutable_runners()->Swap(update.mutable_changed());
  *update.mutable_more_changed() = compression::compressMessage(changed);
}

} // namespace

void RunnerListHistory::add(const v1::RunnerList& list) {
  lists_.push_back(list);
  newest_fingerprint_.reset();
  updates_.clear();
  positions_.clear();
  if (lists_.size() > kMaxLists) {
    lists_.pop_front();
  }
}

void RunnerListHistory::refreshNewest(const v1::RunnerList& list) {
  lists_.back() = list;
  updates_.clear();
}

void RunnerListHistory::clear() {
  lists_.clear();
  newest_fingerprint_.reset();
  updates_.clear();
  positions_.clear();
}

const v1::RunnerList* RunnerListHistory::find(uint64_t version) const {
  const auto found = std::find_if(lists_.begin(), lists_.end(), [version](const auto& list) {
    return list.version() == version;
  });
  return found == lists_.end() ? nullptr : &*found;
}

const v1::RunnerListUpdate& RunnerListHistory::updateFrom(uint64_t base_version) {
  const v1::RunnerList* base = find(base_version);
  const uint64_t known_base = base == nullptr ? 0 : base_version;
  v1::RunnerListUpdate& update = updates_[known_base];
  if (update.version() == 0 && !lists_.empty()) {
    update = differenceOf(base == nullptr ? v1::RunnerList() : *base, lists_.back());
    update.set_version(lists_.back().version());
    update.set_base_version(known_base);
    compressLong(update);
  }
  return update;
}

uint64_t RunnerListHistory::newestFingerprint() {
  if (!newest_fingerprint_) {
    newest_fingerprint_ = fingerprintOf(lists_.back());
  }
  return *newest_fingerprint_;
}

const v1::RunnerListUpdate& RunnerListHistory::updateFrom(uint64_t base_version,
                                                          uint64_t fingerprint) {
  const bool by_another_leader = base_version != 0 && find(base_version) == nullptr;
  if (!by_another_leader || lists_.empty() || fingerprint != newestFingerprint()) {
    return updateFrom(base_version);
  }
  version_only_update_.Clear();
  version_only_update_.set_version(lists_.back().version());
  version_only_update_.set_base_version(base_version);
  return version_only_update_;
}

const std::vector<std::optional<uint32_t>>* RunnerListHistory::positionsFrom(uint64_t version) {
  const v1::RunnerList* old = find(version);
  if (old == nullptr) {
    return nullptr;
  }
  const auto [found, added] = positions_.try_emplace(version);
  if (!added) {
    return &found->second;
  }
  const v1::RunnerList& newest = lists_.back();
  int position = 0;
  for (const v1::RunnerEntry& entry : old->runners()) {
    while (position < newest.runners_size() && comesBefore(newest.runners(position), entry)) {
      ++position;
    }
    const bool same =
        position < newest.runners_size() && sameIncarnation(newest.runners(position), entry);
    found->second.push_back(same ? std::optional(static_cast<uint32_t>(position)) : std::nullopt);
  }
  return &found->second;
}

Result<v1::RunnerList> changedEntries(const v1::RunnerListUpdate& update) {
  v1::RunnerList changed;
  if (update.has_more_changed() &&
      !compression::decompressMessage(update.more_changed(), changed)) {
    return Error{"the compressed entries of the runner list update are damaged"};
  }
  changed.mutable_runners()->MergeFrom(update.changed());
  return changed;
}

Result<v1::RunnerList> applyUpdate(v1::RunnerList base, const v1::RunnerListUpdate& update) {
  if (update.base_version() == 0) {
    base.clear_runners();
  } else if (base.version() != update.base_version()) {
    return Error{"the runner list update is based on another version"};
  }
  const Result<v1::RunnerList> read = changedEntries(update);
  if (isError(read)) {
    return errorOf(read);
  }
  const auto& changed = std::get<v1::RunnerList>(read);
  std::set<std::string> dropped(update.removed().begin(), update.removed().end());
  for (const v1::RunnerEntry& entry : changed.runners()) {
    dropped.insert(entry.id());
  }
  auto* runners = base.mutable_runners();
  runners->erase(
      std::remove_if(runners->begin(), runners->end(),
                     [&](const v1::RunnerEntry& entry) { return dropped.contains(entry.id()); }),
      runners->end());
  runners->MergeFrom(changed.runners());
  std::sort(runners->begin(), runners->end(), comesBefore);
  base.set_version(update.version());
  return base;
}

} // namespace workshatch::relay

#include "core/relay/relay_list_history.h"

#include <algorithm>
#include <utility>

#include "core/compression/deflate.h"

namespace workshatch::relay {

namespace {

/// Number of lists that are kept. A relay whose list is older receives the whole list.
constexpr size_t kMaxLists = 16;
/// Minimum number of added entries at which an update is compressed.
constexpr int kMinCompressedEntries = 8;

bool comesBefore(const v1::RelayEntry& left, const v1::RelayEntry& right) {
  return left.address() < right.address();
}

bool sameEntry(const v1::RelayEntry& left, const v1::RelayEntry& right) {
  return left.address() == right.address() && left.zone() == right.zone() &&
         std::equal(left.lost_services().begin(), left.lost_services().end(),
                    right.lost_services().begin(), right.lost_services().end());
}

bool sameList(const v1::RelayList& left, const v1::RelayList& right) {
  return left.silent() == right.silent() &&
         std::equal(left.relays().begin(), left.relays().end(), right.relays().begin(),
                    right.relays().end(), sameEntry);
}

/// @param base, target sorted by address
v1::RelayListUpdate makeUpdate(const v1::RelayList& base, const v1::RelayList& target) {
  v1::RelayListUpdate update;
  int next_position = 0;
  int old = 0;
  int current = 0;
  while (old < base.relays_size() || current < target.relays_size()) {
    const bool both = old < base.relays_size() && current < target.relays_size();
    if (both && sameEntry(base.relays(old), target.relays(current))) {
      ++old;
      ++current;
      continue;
    }
    const bool is_removed = current == target.relays_size() ||
                            (both && !comesBefore(target.relays(current), base.relays(old)));
    if (is_removed) {
      update.add_removed(static_cast<uint32_t>(old - next_position));
      next_position = ++old;
    } else {
      *update.add_added() = target.relays(current++);
    }
  }
  return update;
}

void compressIfLong(v1::RelayListUpdate& update) {
  if (update.added_size() < kMinCompressedEntries) {
    return;
  }
  v1::RelayList added;
  added.mutable_relays()->Swap(update.mutable_added());
  *update.mutable_more_added() = compression::compressMessage(added);
}

} // namespace

bool RelayListHistory::set(v1::RelayList list, uint64_t version) {
  std::sort(list.mutable_relays()->begin(), list.mutable_relays()->end(), comesBefore);
  if (!lists_.empty() && sameList(list, lists_.back())) {
    return false;
  }
  list.set_version(version);
  lists_.push_back(std::move(list));
  updates_.clear();
  if (lists_.size() > kMaxLists) {
    lists_.pop_front();
  }
  return true;
}

void RelayListHistory::clear() {
  lists_.clear();
  updates_.clear();
}

const v1::RelayListUpdate& RelayListHistory::updateFrom(uint64_t base_version) {
  const auto base = std::find_if(lists_.begin(), lists_.end(), [&](const v1::RelayList& list) {
    return list.version() == base_version;
  });
  const uint64_t known_base = base == lists_.end() ? 0 : base_version;
  v1::RelayListUpdate& update = updates_[known_base];
  if (update.version() == 0 && !lists_.empty()) {
    update = makeUpdate(base == lists_.end() ? v1::RelayList() : *base, lists_.back());
    update.set_version(lists_.back().version());
    update.set_base_version(known_base);
    update.set_silent(lists_.back().silent());
    compressIfLong(update);
  }
  return update;
}

Result<v1::RelayList> applyUpdate(v1::RelayList base, const v1::RelayListUpdate& update) {
  if (update.base_version() == 0) {
    base.Clear();
  } else if (base.version() != update.base_version()) {
    return Error{"the update is based on another version of the relay list"};
  }
  v1::RelayList added;
  if (update.has_more_added() && !compression::decompressMessage(update.more_added(), added)) {
    return Error{"the compressed entries of the relay list update are corrupt"};
  }
  added.mutable_relays()->MergeFrom(update.added());
  v1::RelayList list;
  int position = 0;
  for (const uint32_t distance : update.removed()) {
    const int64_t removed = int64_t{position} + distance;
    if (removed >= base.relays_size()) {
      return Error{"the update removes an entry beyond the end of the relay list"};
    }
    while (position < removed) {
      *list.add_relays() = std::move(*base.mutable_relays(position++));
    }
    ++position;
  }
  while (position < base.relays_size()) {
    *list.add_relays() = std::move(*base.mutable_relays(position++));
  }
  list.mutable_relays()->MergeFrom(added.relays());
  std::sort(list.mutable_relays()->begin(), list.mutable_relays()->end(), comesBefore);
  list.set_version(update.version());
  list.set_silent(update.silent());
  return list;
}

} // namespace workshatch::relay

#include "core/scheduling/slot_owner_map.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/routing/rendezvous.h"

namespace workshatch::relay {

namespace {

/// Time for which an owner that did not answer receives no claims. After each such period, one
/// request of each relay waits for an answer again.
constexpr int64_t kSilentMs = 1000;

} // namespace

bool SlotOwnerMap::differ(std::vector<std::string> relays) const {
  std::sort(relays.begin(), relays.end());
  return relays != relays_;
}

std::vector<std::string> SlotOwnerMap::setRelays(std::vector<std::string> relays) {
  std::sort(relays.begin(), relays.end());
  std::vector<std::string> removed;
  std::set_difference(relays_.begin(), relays_.end(), relays.begin(), relays.end(),
                      std::back_inserter(removed));
  for (const std::string& relay : removed) {
    silent_until_ms_.erase(relay);
  }
  relays_ = std::move(relays);
  owner_index_.clear();
  return removed;
}

const std::string* SlotOwnerMap::ownerOf(uint64_t runner) {
  if (relays_.empty()) {
    return nullptr;
  }
  const auto [found, added] = owner_index_.try_emplace(runner);
  if (added) {
    uint64_t max_weight = 0;
    for (size_t i = 0; i < relays_.size(); ++i) {
      const uint64_t weight = routing::rendezvousWeight(runner, relays_[i]);
      if (weight > max_weight) {
        max_weight = weight;
        found->second = i;
      }
    }
  }
  return &relays_[found->second];
}

void SlotOwnerMap::recordUnanswered(const std::string& owner, int64_t now_ms) {
  silent_until_ms_[owner] = now_ms + kSilentMs;
}

bool SlotOwnerMap::isSilent(const std::string& owner, int64_t now_ms) const {
  const auto found = silent_until_ms_.find(owner);
  return found != silent_until_ms_.end() && now_ms < found->second;
}

} // namespace workshatch::relay

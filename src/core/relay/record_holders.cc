#include "core/relay/record_holders.h"

#include <algorithm>
#include <cstdint>
#include <map>

#include "core/routing/rendezvous.h"

namespace workshatch::relay {

namespace {

struct Ranked {
  uint64_t weight = 0;
  const std::string* address = nullptr;
};

bool ranksBefore(const Ranked& left, const Ranked& right) { return left.weight > right.weight; }

} // namespace

std::vector<std::string>
chooseRecordHolders(const StreamId& stream, const std::vector<RecordHolder>& relays, size_t count) {
  const uint64_t key = stream.caller ^ stream.request;
  std::map<std::string_view, std::vector<Ranked>> by_zone;
  for (const RecordHolder& relay : relays) {
    by_zone[relay.zone].push_back(
        Ranked{.weight = routing::rendezvousWeight(key, relay.address), .address = &relay.address});
  }
  std::vector<std::vector<Ranked>*> zones;
  for (auto& [zone, ranked] : by_zone) {
    const size_t first = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(first), ranked.end(),
                      ranksBefore);
    zones.push_back(&ranked);
  }
  std::sort(zones.begin(), zones.end(), [](const auto* left, const auto* right) {
    return ranksBefore(left->front(), right->front());
  });
  std::vector<std::string> holders;
  for (size_t round = 0; round < count && holders.size() < std::min(count, relays.size());
       ++round) {
    for (const auto* zone : zones) {
      if (round < zone->size() && holders.size() < count) {
        holders.push_back(*(*zone)[round].address);
      }
    }
  }
  return holders;
}

} // namespace workshatch::relay

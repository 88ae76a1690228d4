#include "core/relay/relay_addresses.h"

#include <algorithm>
#include <random>

namespace workshatch::relay {

namespace {

/// Callers stay in their zone, or in their region, while at least this many relays are ready there.
constexpr size_t kMinLocalRelays = 2;
/// Maximum number of addresses that callers use from an answer.
constexpr size_t kMaxAddresses = 64;

} // namespace

std::vector<std::string> selectAddresses(const v1::RelayList& relays, const ZoneRegions& zones,
                                         const AddressQuery& query) {
  std::vector<std::string> in_zone;
  std::vector<std::string> in_region;
  std::vector<std::string> all;
  const std::string zone_region = zones.regionOf(query.zone);
  const std::string& region = zone_region.empty() ? query.region : zone_region;
  for (const v1::RelayEntry& relay : relays.relays()) {
    if (relay.address() == query.own_address && !query.confirmed_recently) {
      continue;
    }
    all.push_back(relay.address());
    if (relay.zone() == query.zone) {
      in_zone.push_back(relay.address());
    }
    if (!region.empty() && zones.regionOf(relay.zone()) == region) {
      in_region.push_back(relay.address());
    }
  }
  std::vector<std::string> selected = in_zone.size() >= kMinLocalRelays     ? in_zone
                                      : in_region.size() >= kMinLocalRelays ? in_region
                                                                            : all;
  if (selected.empty()) {
    selected.push_back(query.own_address);
  }
  if (selected.size() > kMaxAddresses) {
    std::shuffle(selected.begin(), selected.end(), std::minstd_rand(query.draw));
    selected.resize(kMaxAddresses);
  }
  return selected;
}

} // namespace workshatch::relay

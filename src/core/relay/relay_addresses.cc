#include "core/relay/relay_addresses.h"

#include <algorithm>
#include <iterator>
#include <random>

#include "core/relay/peer_relays.h"

namespace workshatch::relay {

namespace {

/// Callers stay in their zone, or in their region, while at least this many relays are ready there.
constexpr size_t kMinLocalRelays = 2;
/// Maximum number of addresses that callers use from an answer.
constexpr size_t kMaxAddresses = 64;

bool hasPaths(const v1::RelayEntry& relay, const std::vector<uint64_t>& services) {
  return std::none_of(services.begin(), services.end(),
                      [&relay](uint64_t service) { return hasLostPath(relay, service); });
}

/// @return the relays to choose from.
std::vector<const v1::RelayEntry*> usableRelays(const v1::RelayList& relays,
                                                const AddressQuery& query) {
  std::vector<const v1::RelayEntry*> usable;
  for (const v1::RelayEntry& relay : relays.relays()) {
    if (relay.address() != query.own_address || query.confirmed_recently) {
      usable.push_back(&relay);
    }
  }
  std::vector<const v1::RelayEntry*> with_paths;
  std::copy_if(usable.begin(), usable.end(), std::back_inserter(with_paths),
               [&query](const auto* relay) { return hasPaths(*relay, query.services); });
  return with_paths.empty() ? usable : with_paths;
}

} // namespace

std::vector<std::string> selectAddresses(const v1::RelayList& relays, const ZoneRegions& zones,
                                         const AddressQuery& query) {
  std::vector<std::string> in_zone;
  std::vector<std::string> in_region;
  std::vector<std::string> all;
  const std::string zone_region = zones.regionOf(query.zone);
  const std::string& region = zone_region.empty() ? query.region : zone_region;
  for (const v1::RelayEntry* relay : usableRelays(relays, query)) {
    all.push_back(relay->address());
    if (relay->zone() == query.zone) {
      in_zone.push_back(relay->address());
    }
    if (!region.empty() && zones.regionOf(relay->zone()) == region) {
      in_region.push_back(relay->address());
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

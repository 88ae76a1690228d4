#include "core/relay/relay_addresses.h"

#include <algorithm>
#include <random>

namespace workshatch::relay {

namespace {

/// Callers stay in their zone, or in their region, while so many relays there are ready.
constexpr size_t kEnoughRelays = 2;
/// Callers take no more of an answer.
constexpr size_t kMostAddresses = 64;

} // namespace

std::vector<std::string> selectAddresses(const v1::RelayList& relays, const ZoneRegions& zones,
                                         const AddressQuery& question) {
  std::vector<std::string> in_zone;
  std::vector<std::string> in_region;
  std::vector<std::string> all;
  const std::string of_zone = zones.regionOf(question.zone);
  const std::string& region = of_zone.empty() ? question.region : of_zone;
  for (const v1::RelayEntry& relay : relays.relays()) {
    if (relay.address() == question.own_address && !question.confirmed_recently) {
      continue;
    }
    all.push_back(relay.address());
    if (relay.zone() == question.zone) {
      in_zone.push_back(relay.address());
    }
    if (!region.empty() && zones.regionOf(relay.zone()) == region) {
      in_region.push_back(relay.address());
    }
  }
  std::vector<std::string> chosen = in_zone.size() >= kEnoughRelays     ? in_zone
                                    : in_region.size() >= kEnoughRelays ? in_region
                                                                        : all;
  if (chosen.empty()) {
    chosen.push_back(question.own_address);
  }
  if (chosen.size() > kMostAddresses) {
    std::shuffle(chosen.begin(), chosen.end(), std::minstd_rand(question.draw));
    chosen.resize(kMostAddresses);
  }
  return chosen;
}

} // namespace workshatch::relay

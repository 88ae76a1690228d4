/// @file
/// The addresses that callers are told when they ask where to go.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/relay/home_regions.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

struct AddressQuery {
  /// The caller's zone and region; empty: not told.
  std::string zone;
  std::string region;
  /// The relay that answers, and whether the group confirmed it lately. Out of touch it leaves
  /// itself out: it would soon refuse whoever came.
  std::string own_address;
  bool confirmed_recently = true;
  /// Draws which relays are told where there are too many.
  uint64_t draw = 0;
};

/// @return relays of the caller's zone; of its region where too few are in the zone; of all regions
/// where too few are in that; never empty. Requests that may run in their caller's region only then
/// stay in it.
std::vector<std::string> selectAddresses(const v1::RelayList& relays, const ZoneRegions& zones,
                                         const AddressQuery& question);

/// How long callers keep an answer, in seconds.
struct AddressLifetimes {
  /// Short, so that callers soon learn of relays that came or went.
  uint32_t ordinary_s = 1;
  /// While relays are silent. Callers also ask those, from a list that is not ours, and wait for a
  /// time limit each time; to ask seldom costs them less than to keep an older answer does.
  uint32_t degraded_s = 5;
};

/// @return how long callers may keep the addresses of this list.
inline uint32_t addressesLifetimeS(const v1::RelayList& relays, const AddressLifetimes& lifetimes) {
  return relays.silent() == 0 ? lifetimes.ordinary_s : lifetimes.degraded_s;
}

} // namespace workshatch::relay

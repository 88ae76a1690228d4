/// @file
/// Selects the relays whose addresses a caller receives, and how long the caller may cache them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/relay/home_regions.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

struct AddressQuery {
  /// The caller's zone and region; empty if not given.
  std::string zone;
  std::string region;
  /// Address of the relay that answers, and whether the group confirmed its lease recently. If not,
  /// the relay leaves itself out of the answer, because it would soon refuse callers.
  std::string own_address;
  bool confirmed_recently = true;
  /// Fingerprints of the services that the caller's host uses. Relays without a network path to one
  /// of them are left out, unless no other relay remains.
  std::vector<uint64_t> services;
  /// Random number that selects the relays to return if there are too many.
  uint64_t draw = 0;
};

/// Selects among the relays that have a network path to the services of the caller's host.
/// @return the relays of the caller's zone; if these are too few, those of its region; if these are
/// too few as well, those of all regions. Never empty. The region comes before all others so that
/// requests that may run only in their caller's region stay in it.
std::vector<std::string> selectAddresses(const v1::RelayList& relays, const ZoneRegions& zones,
                                         const AddressQuery& query);

/// How long callers may cache an answer, in seconds.
struct AddressLifetimes {
  /// Short, so that callers soon get the addresses of new relays and drop those of relays that
  /// left.
  uint32_t ordinary_s = 1;
  /// Used while relays are silent. Callers get their list of relays to query from elsewhere, so
  /// they also query silent ones and wait for a timeout each time; this costs them more than an
  /// older answer, so they should query less often.
  uint32_t degraded_s = 5;
};

/// @return how long callers may cache the addresses of this list, in seconds.
inline uint32_t addressesLifetimeS(const v1::RelayList& relays, const AddressLifetimes& lifetimes) {
  return relays.silent() == 0 ? lifetimes.ordinary_s : lifetimes.degraded_s;
}

} // namespace workshatch::relay

/// @file
/// The addresses that callers are told when they ask where to go.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

struct AddressQuestion {
  /// The caller's zone.
  std::string zone;
  /// The relay that answers, and whether the group confirmed it lately. Out of touch it leaves
  /// itself out: it would soon refuse whoever came.
  std::string own_address;
  bool in_touch = true;
  /// Draws which relays are told where there are too many.
  uint64_t draw = 0;
};

/// @return relays of the caller's zone, or of all zones where too few are there; never empty.
std::vector<std::string> addressesFor(const v1::RelayList& relays, const AddressQuestion& question);

} // namespace workshatch::relay

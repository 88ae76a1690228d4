/// @file
/// Sums of what the relays report of the runners.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Adds up reports about one list of runners. A runner is a suspect when more than one relay says
/// so: a single relay may have lost its own way to it. Not safe for concurrent use.
class LoadTotals {
public:
  /// @param runners length of the list
  LoadTotals(uint64_t list_version, size_t runners)
      : list_version_(list_version), counts_(runners, 0) {}

  /// Adds one relay's report; one about another list is left out.
  void add(const v1::RunnerLoads& report);
  /// Adds a report about an older list. Without it the sums would lack, for a whole period of
  /// renewals after each change of the list, the relays that have not renewed since.
  /// @param positions where the runners of the older list stand in this one
  void addFromOlderList(const v1::RunnerLoads& report,
                        const std::vector<std::optional<uint32_t>>& positions);

  v1::RunnerLoads totals() const;

private:
  const uint64_t list_version_;
  /// Requests in progress by position in the list.
  std::vector<uint32_t> counts_;
  /// Relays that suspect a runner, by its position.
  std::map<uint32_t, uint32_t> suspicions_;
};

} // namespace workshatch::relay

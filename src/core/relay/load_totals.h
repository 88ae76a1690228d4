/// @file
/// Adds up the runner loads and suspicions that the relays report.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Totals of the relays' reports about one list of runners. A runner is a suspect when at least two
/// relays report it as one: a single relay may have lost its own network path to it. Not safe for
/// concurrent use.
class LoadTotals {
public:
  /// @param runners number of runners in the list
  LoadTotals(uint64_t list_version, size_t runners)
      : list_version_(list_version), counts_(runners, 0) {}

  /// Adds a relay's report. A report about another list is ignored.
  void add(const v1::RunnerLoads& report);
  /// Adds a report about an older list. Without it, for a whole renewal period after each change of
  /// the list, the totals would lack the relays that have not renewed since the change.
  /// @param positions position in this list of each runner of the older list; empty: it is not in
  /// this one
  void addFromOlderList(const v1::RunnerLoads& report,
                        const std::vector<std::optional<uint32_t>>& positions);

  v1::RunnerLoads totals() const;

private:
  const uint64_t list_version_;
  /// Requests in progress by position in the list.
  std::vector<uint32_t> counts_;
  /// Number of relays that suspect a runner, by its position.
  std::map<uint32_t, uint32_t> suspicions_;
};

} // namespace workshatch::relay

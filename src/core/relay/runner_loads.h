/// @file
/// Requests in progress by runner, as they travel between relays and the leader.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Writes counts, one for each runner of a list. Where most are zero, only the others are named, so
/// that a report grows with the work in progress and not with the fleet.
void setCounts(v1::RunnerLoads& loads, const std::vector<uint32_t>& counts);

/// @return a count for each of `runners`, or nothing when `loads` is about a list of other length.
std::optional<std::vector<uint32_t>> countsOf(const v1::RunnerLoads& loads, size_t runners);

} // namespace workshatch::relay

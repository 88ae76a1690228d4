/// @file
/// Encodes and decodes the requests in progress per runner in messages between relays and the
/// leader.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Writes the counts of all runners of a list. If most are zero, only the others are written, with
/// their positions, so that the size of a report grows with the work in progress and not with the
/// fleet.
void setCounts(v1::RunnerLoads& loads, const std::vector<uint32_t>& counts);

/// @return a count for each of `runners`, or nothing if `loads` does not fit a list of that length.
std::optional<std::vector<uint32_t>> countsOf(const v1::RunnerLoads& loads, size_t runners);

} // namespace workshatch::relay

/// @file
/// What a request needs at a runner, and when its response is due.
#pragma once

#include <cstdint>

namespace workshatch::relay {

/// Where the token counts of a demand come from.
enum class DemandSource {
  /// The caller stated nothing, and no recent request of the route is known. The counts are zero.
  Unknown,
  /// The route's moving average stands in for at least one count.
  Estimated,
  /// The caller stated both counts.
  Told,
};

/// The demand of one request. Token counts are zero for requests to plain services.
struct RequestDemand {
  uint32_t prompt_tokens = 0;
  /// Expected length of the output.
  uint32_t output_tokens = 0;
  DemandSource source = DemandSource::Unknown;
  /// Milliseconds from the arrival of the request within which the first event of a stream, or the
  /// whole response of a plain service, is in time; 0: not stated.
  uint32_t objective_ms = 0;
  /// Longest pause between two events of a stream that is still in time, in milliseconds; 0: not
  /// stated.
  uint32_t pause_objective_ms = 0;
};

} // namespace workshatch::relay

/// @file
/// What a request needs at a runner, and when its response is due.
#pragma once

#include <cstdint>
#include <optional>

namespace workshatch::relay {

/// Figures that a caller states about the size of its request. A figure is empty if it is missing
/// or was rejected.
struct StatedDemand {
  std::optional<uint64_t> prompt_tokens;
  /// Limit of the output's length.
  std::optional<uint64_t> max_output_tokens;
  /// The caller's own estimate of the output's length, which is often far off.
  std::optional<uint64_t> expected_output_tokens;
  /// Tokens in the prefix blocks that the caller lists; 0 if it lists none.
  uint64_t listed_prompt_tokens = 0;
  /// Number of figures that are malformed or not plausible.
  uint32_t rejected = 0;
};

/// Where the token counts of a demand come from.
enum class DemandSource {
  /// Nothing is known about the length of the prompt. The counts are zero.
  Unknown,
  /// The caller did not state at least one of the counts. The route's moving average stands in for
  /// it, or for the prompt the listed blocks if these are longer; an output that is not known
  /// counts as zero.
  Estimated,
  /// The caller stated both counts. The limit of the output stands in for its expected length while
  /// no average is known.
  Told,
};

/// @return the name of the source in logs.
inline const char* nameOf(DemandSource source) {
  switch (source) {
  case DemandSource::Told:
    return "told";
  case DemandSource::Estimated:
    return "estimated";
  case DemandSource::Unknown:
    break;
  }
  return "unknown";
}

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

/// @file
/// What a runner tells of itself with an answer, decoded.
#pragma once

#include <cstdint>
#include <optional>

namespace workshatch::relay {

/// How busy a runner is.
struct RunnerLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  /// How long its work takes at this moment, as a multiple of the usual time: it shares its machine
  /// with others. Nothing: not told, or not to be believed.
  std::optional<double> work_time_factor;
  /// A figure was told that no runner can have.
  bool work_time_rejected = false;
};

/// All that an answer says of the runner and of further requests to it. Milliseconds count from the
/// answer.
struct RunnerNotice {
  /// It is about to end and wants no further requests.
  bool leaving = false;
  /// It wants no requests from this relay for so long. Nothing: it did not say.
  std::optional<uint32_t> backoff_ms;
  /// It asked for a backoff in words that can't be read.
  bool backoff_rejected = false;
  /// It stays cold for so long. Nothing: it did not say.
  std::optional<uint32_t> cold_ms;
  std::optional<RunnerLoad> load;
};

} // namespace workshatch::relay

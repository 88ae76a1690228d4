/// @file
/// Decoded state that a runner reports about itself in a response.
#pragma once

#include <cstdint>
#include <optional>

namespace workshatch::relay {

/// Load of a runner.
struct RunnerLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  /// Present duration of work as a multiple of the usual duration, because the runner shares its
  /// machine with others. Empty: not reported, or not plausible.
  std::optional<double> work_time_factor;
  /// The reported work time factor was not plausible.
  bool work_time_rejected = false;
};

/// All that a response reports about the runner and about further requests to it. Times are
/// milliseconds from the arrival of the response.
struct RunnerNotice {
  /// The runner is about to stop and requests that no further requests are sent.
  bool leaving = false;
  /// Time for which the runner requests that this relay sends nothing. Empty: none requested.
  std::optional<uint32_t> backoff_ms;
  /// The runner requested a backoff in a form that can't be parsed.
  bool backoff_rejected = false;
  /// Time for which the runner remains cold. Empty: not reported.
  std::optional<uint32_t> cold_ms;
  std::optional<RunnerLoad> load;
  /// Number of requests that the runner can decline for want of room in one second; its process
  /// fails if it has to decline more. Empty: it did not state one.
  std::optional<uint32_t> max_declines;
};

} // namespace workshatch::relay

/// @file
/// Backoffs that runners requested from this relay.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/backoff.h"
#include "core/relay/runner_notice.h"

namespace workshatch::relay {

/// Backoff that one runner requested from this relay.
struct RunnerBackoff {
  Backoff time;
  /// The runner is leaving: the backoff lasts until its process ends.
  bool leaving = false;

  bool holds(int64_t now_ms) const { return leaving || time.isActive(now_ms); }
};

/// The backoffs of all runners, by the fingerprint of the runner's incarnation.
///
/// Guarantee: a backoff stays in force until it is over, also if the runner is temporarily missing
/// from the list of runners. It ends with the runner's process, because the next process has
/// another fingerprint.
///
/// Times are milliseconds of the monotonic clock, which includes the time that the machine was
/// suspended. Not safe for concurrent use.
class RunnerBackoffs {
public:
  /// Records the notice of a response.
  /// @return the backoff in force after it.
  RunnerBackoff record(uint64_t incarnation, const RunnerNotice& notice, int64_t now_ms);

  /// @return the backoff of the runner; one that is not in force if the runner requested none.
  RunnerBackoff find(uint64_t incarnation) const;

  size_t size() const { return backoffs_.size(); }

private:
  struct Kept {
    RunnerBackoff backoff;
    int64_t recorded_ms = 0;
  };

  void dropExpired(int64_t now_ms);

  std::unordered_map<uint64_t, Kept> backoffs_;
};

} // namespace workshatch::relay

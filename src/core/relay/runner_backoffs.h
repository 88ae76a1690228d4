/// @file
/// Until when runners want no requests from this relay, as they said themselves.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/backoff.h"
#include "core/relay/runner_notice.h"

namespace workshatch::relay {

/// Until when one runner wants no requests from this relay.
struct RunnerBackoff {
  Backoff time;
  /// It is leaving: it wants none until its process ends.
  bool leaving = false;

  bool holds(int64_t now_ms) const { return leaving || time.isActive(now_ms); }
};

/// The backoffs of all runners, by the fingerprint of a runner's life.
///
/// Guarantee: a backoff holds until it is over, also when the runner is missing from a list of
/// runners in between, and ends with the runner's life, whose successor has another fingerprint.
///
/// Times are milliseconds of the monotonic clock, which counts the machine's sleep. Not safe for
/// concurrent use.
class RunnerBackoffs {
public:
  /// Takes what an answer says. @return what holds from here on.
  RunnerBackoff note(uint64_t incarnation, const RunnerNotice& notice, int64_t now_ms);

  /// @return what the runner asked for; nothing of it holds when it did not ask.
  RunnerBackoff find(uint64_t incarnation) const;

  size_t size() const { return backoffs_.size(); }

private:
  struct Kept {
    RunnerBackoff backoff;
    int64_t noted_ms = 0;
  };

  void dropExpired(int64_t now_ms);

  std::unordered_map<uint64_t, Kept> backoffs_;
};

} // namespace workshatch::relay

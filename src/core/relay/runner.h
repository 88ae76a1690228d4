/// @file
/// One back end as a relay knows it.
#pragma once

#include <cstdint>
#include <string>

#include "core/relay/runner_backoffs.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// One back end. Times are milliseconds of the monotonic clock.
struct Runner {
  v1::RunnerEntry entry;
  /// Fingerprint of its life (runner_life.h), under which all else is kept of it.
  uint64_t fingerprint = 0;
  /// Fingerprint of `entry`, a part of the list's.
  uint64_t entry_fingerprint = 0;
  /// Attempts of this relay that are in progress.
  uint32_t in_progress = 0;
  /// Attempts of the other relays, as of the last sums.
  uint32_t others_in_progress = 0;
  /// Attempts of this relay when the last sums came.
  uint32_t in_progress_at_totals = 0;
  /// It has been sent prompts with cached parts.
  bool engine = false;
  /// Moving share of failed attempts, 0 to 1.
  double failure_rate = 0;
  uint32_t failures_in_row = 0;
  /// When it last sent anything, or the first of its present attempts began.
  int64_t last_activity_ms = 0;
  /// Other relays get no answer from it, as told until then.
  int64_t suspected_until_ms = 0;
  /// Not chosen before, unless nothing else is left.
  int64_t avoid_until_ms = 0;
  /// It declined a request, being full; taken to be so until then.
  int64_t full_until_ms = 0;
  /// Until when it wants no requests from this relay.
  RunnerBackoff backoff;
  /// Region of its zone; empty: not known.
  std::string region;
  /// Its zone is evacuated: it gets no requests.
  bool evacuated = false;
  /// Its version was read from the platform while the group was silent, so that it is not known
  /// whether a rollout holds requests back from it.
  bool version_unconfirmed = false;
  /// How long work takes there as a multiple of the usual time, smoothed, and when it was told
  /// last.
  double work_time_factor = 1;
  int64_t work_time_reported_ms = 0;
  /// It counts as cold until then.
  int64_t cold_until_ms = 0;
  /// When it came into the list; zero: it was in the first one.
  int64_t listed_since_ms = 0;
  /// Gone from the list; kept only while attempts are in progress.
  bool gone = false;

  /// @return whether its process is about to end, by the list or by its own word.
  bool isLeaving() const { return entry.leaving() || backoff.leaving; }
  uint32_t load() const { return in_progress + others_in_progress; }
};

} // namespace workshatch::relay

/// @file
/// State that a relay keeps for one back end.
#pragma once

#include <cstdint>
#include <string>

#include "core/relay/runner_backoffs.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// State of one back end. Times are milliseconds of the monotonic clock.
struct Runner {
  v1::RunnerEntry entry;
  /// Fingerprint of the runner's incarnation (runner_incarnation.h), the key of all state that is
  /// kept for the runner.
  uint64_t fingerprint = 0;
  /// Fingerprint of `entry`, a summand of the list's fingerprint.
  uint64_t entry_fingerprint = 0;
  /// Attempts of this relay in progress.
  uint32_t in_progress = 0;
  /// Attempts of the other relays in progress, by the last load totals.
  uint32_t others_in_progress = 0;
  /// Attempts of this relay in progress when the last load totals were received.
  uint32_t in_progress_at_totals = 0;
  /// Prompts with shared prefixes were sent to the runner.
  bool engine = false;
  /// Moving average of the fraction of failed attempts, 0 to 1.
  double failure_rate = 0;
  uint32_t failures_in_row = 0;
  /// When the last failed attempt ended.
  int64_t failed_ms = 0;
  /// When the runner last sent anything, or when the first of its present attempts began.
  int64_t last_activity_ms = 0;
  /// When the runner last accepted a connection or sent anything; 0: never.
  int64_t last_heard_ms = 0;
  /// End of the time for which the runner is avoided because other relays get no response from it.
  int64_t suspected_until_ms = 0;
  /// The runner is not chosen before this time, unless no other is left.
  int64_t avoid_until_ms = 0;
  /// End of the time for which the runner counts as full, after it declined a request or its slot
  /// owner granted none.
  int64_t full_until_ms = 0;
  /// Backoff that the runner requested from this relay.
  RunnerBackoff backoff;
  /// Region of the runner's zone; empty: unknown.
  std::string region;
  /// The runner's zone is evacuated, so that it gets no requests.
  bool evacuated = false;
  /// No resumable stream may begin at the runner: it is not known that all relays know of its
  /// version (`VersionAdmission`).
  bool begins_no_streams = false;
  /// The version was read from the platform while the group was unreachable, so that it is not
  /// known whether a rollout excludes it.
  bool version_unconfirmed = false;
  /// Smoothed duration of work at the runner as a multiple of the usual duration, and when it was
  /// last reported.
  double work_time_factor = 1;
  int64_t work_time_reported_ms = 0;
  /// What the slot owner last reported about a plain runner (core/scheduling/service_reports.h):
  /// the service time in milliseconds (0: not known), the percentage of failed requests, and when
  /// the report was received (0: never).
  uint32_t service_time_ms = 0;
  uint32_t failed_percent = 0;
  int64_t service_reported_ms = 0;
  /// When this relay last found that the runner's process had ended; 0: never. A process that
  /// listens there since may run another version than the list says.
  int64_t process_ended_ms = 0;
  /// The runner counts as cold until this time.
  int64_t cold_until_ms = 0;
  /// When the runner was added to the list; zero: it was in the first list.
  int64_t listed_since_ms = 0;
  /// The runner was removed from the list. The object is kept while attempts are in progress.
  bool gone = false;

  /// @return whether the runner's process is about to end, according to the list or to the runner
  /// itself.
  bool isLeaving() const { return entry.leaving() || backoff.leaving; }
  uint32_t load() const { return in_progress + others_in_progress; }
};

} // namespace workshatch::relay

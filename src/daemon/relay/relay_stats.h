/// @file
/// Counters and histograms of one relay, and their output as metrics.
#pragma once

#include <cstdint>
#include <string>

#include "adapters/metrics/text_format.h"
#include "core/relay/runner_notice.h"

namespace workshatch::daemon {

/// Lives on the relay's event loop; not safe for concurrent use.
struct RelayStats {
  /// Requests by outcome, under the names of the decision log.
  metrics::LabelledCounts outcomes;
  /// Attempts at runners by outcome.
  metrics::LabelledCounts attempts;
  uint64_t repeats = 0;
  uint64_t repeats_refused = 0;
  uint64_t resumed_streams = 0;
  uint64_t events = 0;
  uint64_t renewals = 0;
  /// Work time factors reported by runners: plausible ones, and rejected ones.
  uint64_t work_times_reported = 0;
  uint64_t work_times_rejected = 0;
  /// Responses in which a runner requested a backoff, requested one with an unreadable time, or
  /// announced that it is leaving.
  uint64_t backoffs_requested = 0;
  uint64_t backoffs_rejected = 0;
  uint64_t leaving_announced = 0;
  /// Requests that were sent to a runner during its backoff.
  uint64_t sent_in_backoff = 0;
  metrics::DurationHistogram first_event;
  metrics::DurationHistogram event_gap;
  metrics::DurationHistogram answer;

  /// Counts the notices in the headers of a runner's response.
  void recordNotice(const relay::RunnerNotice& notice);

  /// Appends all metrics in the Prometheus text format.
  void expose(std::string& out) const;
};

} // namespace workshatch::daemon

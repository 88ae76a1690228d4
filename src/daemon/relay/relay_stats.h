/// @file
/// Counters and histograms of one relay, each declared once.
#pragma once

#include <cstdint>
#include <string>

#include "adapters/metrics/text_format.h"
#include "core/relay/runner_notice.h"

namespace workshatch::daemon {

/// Lives on the relay's event loop; not safe for concurrent use.
struct RelayStats {
  /// Requests by outcome, as the decision log names it.
  metrics::LabelledCounts outcomes;
  /// Attempts at runners by outcome.
  metrics::LabelledCounts attempts;
  uint64_t repeats = 0;
  uint64_t repeats_refused = 0;
  uint64_t resumed_streams = 0;
  uint64_t events = 0;
  uint64_t renewals = 0;
  /// Figures of runners on how long their work takes: taken, and not to be believed.
  uint64_t work_times_told = 0;
  uint64_t work_times_rejected = 0;
  /// Answers by which a runner asked for no requests for a time, or said that it is leaving, and
  /// those whose time can't be read.
  uint64_t backoffs_told = 0;
  uint64_t backoffs_rejected = 0;
  uint64_t leaving_told = 0;
  /// Requests that were sent to a runner which had asked for none.
  uint64_t sent_in_backoff = 0;
  metrics::DurationHistogram first_event;
  metrics::DurationHistogram event_gap;
  metrics::DurationHistogram answer;

  /// Counts what an answer says of its runner.
  void note(const relay::RunnerNotice& notice);

  /// Appends everything in the Prometheus text format.
  void expose(std::string& out) const;
};

} // namespace workshatch::daemon

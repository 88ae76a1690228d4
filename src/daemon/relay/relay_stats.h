/// @file
/// Counters and histograms of one relay, each declared once.
#pragma once

#include <cstdint>
#include <string>

#include "adapters/metrics/text_format.h"

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
  metrics::DurationHistogram first_event;
  metrics::DurationHistogram event_gap;
  metrics::DurationHistogram answer;

  /// Appends everything in the Prometheus text format.
  void expose(std::string& out) const;
};

} // namespace workshatch::daemon

/// @file
/// Counters and histograms of one relay, and their output as metrics.
#pragma once

#include <cstdint>
#include <string>

#include "adapters/metrics/text_format.h"
#include "core/relay/runner_notice.h"
#include "core/scheduling/request_demand.h"

namespace workshatch::daemon {

/// Lives on the relay's event loop; not safe for concurrent use.
struct RelayStats {
  /// Requests by outcome, under the names of the decision log.
  metrics::LabelledCounts outcomes;
  /// Attempts at runners by outcome.
  metrics::LabelledCounts attempts;
  /// Requests forwarded to other relays by the outcome there, and requests that other relays
  /// forwarded here.
  metrics::LabelledCounts forwards;
  uint64_t forwards_received = 0;
  uint64_t repeats = 0;
  uint64_t repeats_refused = 0;
  /// Sends to a runner of requests that this relay, or as far as it knows another one, had sent
  /// before. Over all relays, not more than `repeats`.
  uint64_t repeated_sends = 0;
  uint64_t resumed_streams = 0;
  /// Searches for the end of a run by what was found, under the names of `relay::RunEnd`.
  metrics::LabelledCounts run_ends;
  /// Late copies of responses to other requests that were discarded.
  uint64_t late_copies = 0;
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
  /// Requests to model engines whose size their callers stated, and those whose size was estimated
  /// from recent requests of the same route and service.
  uint64_t demands_told = 0;
  uint64_t demands_estimated = 0;
  /// Figures of callers about the size of a request that were ignored.
  uint64_t demands_rejected = 0;
  /// Streams whose first event came after the route's objective, and pauses between two events that
  /// exceeded the route's pause objective.
  uint64_t late_first_events = 0;
  uint64_t long_pauses = 0;
  metrics::DurationHistogram first_event;
  metrics::DurationHistogram event_gap;
  metrics::DurationHistogram answer;

  /// Counts the notices in the headers of a runner's response.
  void recordNotice(const relay::RunnerNotice& notice);

  /// Counts the source of a request's size, and the figures of its caller that were ignored.
  void recordDemand(const relay::RequestDemand& demand, const relay::StatedDemand& stated);
  /// Records the time of the first event of a stream, and counts the stream if it is late.
  /// @param waited_ms time since the request was received
  void recordFirstEvent(const relay::RequestDemand& demand, int64_t waited_ms);
  /// Counts a pause between two events of a stream if it is too long.
  void recordPause(const relay::RequestDemand& demand, int64_t pause_ms);

  /// Appends all metrics in the Prometheus text format.
  void expose(std::string& out) const;
};

} // namespace workshatch::daemon

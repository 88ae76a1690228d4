#include "daemon/relay/relay_stats.h"

#include "adapters/logging/line_log.h"

namespace workshatch::daemon {

using metrics::exposeCounter;
using metrics::exposeCounters;

void RelayStats::recordNotice(const relay::RunnerNotice& notice) {
  backoffs_requested += notice.backoff_ms ? 1 : 0;
  backoffs_rejected += notice.backoff_rejected ? 1 : 0;
  leaving_announced += notice.leaving ? 1 : 0;
  if (notice.load) {
    work_times_reported += notice.load->work_time_factor ? 1 : 0;
    work_times_rejected += notice.load->work_time_rejected ? 1 : 0;
  }
}

void RelayStats::recordDemand(const relay::RequestDemand& demand,
                              const relay::StatedDemand& stated) {
  demands_told += demand.source == relay::DemandSource::Told ? 1 : 0;
  demands_estimated += demand.source == relay::DemandSource::Estimated ? 1 : 0;
  demands_rejected += stated.rejected;
}

void RelayStats::recordFirstEvent(const relay::RequestDemand& demand, int64_t waited_ms) {
  const bool late = demand.objective_ms != 0 && waited_ms > demand.objective_ms;
  late_first_events += late ? 1 : 0;
  first_event.add(waited_ms);
}

void RelayStats::recordPause(const relay::RequestDemand& demand, int64_t pause_ms) {
  const bool too_long = demand.pause_objective_ms != 0 && pause_ms > demand.pause_objective_ms;
  long_pauses += too_long ? 1 : 0;
}

void RelayStats::expose(std::string& out) const {
  exposeCounters(out, "relay_requests_total", "requests by outcome", "outcome", outcomes);
  exposeCounters(out, "relay_attempts_total", "attempts at runners by outcome", "outcome",
                 attempts);
  exposeCounters(out, "relay_forwards_total", "requests forwarded to other relays by outcome",
                 "outcome", forwards);
  exposeCounter(out, "relay_forwards_received_total", "requests that other relays forwarded here",
                forwards_received);
  exposeCounter(out, "relay_repeats_total", "attempts beyond the first of a request", repeats);
  exposeCounter(out, "relay_repeats_refused_total", "repeats that the budget did not allow",
                repeats_refused);
  exposeCounter(out, "relay_repeated_sends_total",
                "sends to a runner of requests that had been sent before", repeated_sends);
  exposeCounter(out, "relay_resumed_streams_total", "streams that went on at another runner",
                resumed_streams);
  exposeCounter(out, "relay_late_copies_total",
                "late copies of responses to other requests that were discarded", late_copies);
  exposeCounters(out, "relay_run_ends_total", "ends of runs that were looked for by what was found",
                 "run_end", run_ends);
  exposeCounter(out, "relay_backoffs_told_total",
                "answers by which a runner asked for no requests for a time", backoffs_requested);
  exposeCounter(out, "relay_backoffs_rejected_total", "such answers whose time can't be read",
                backoffs_rejected);
  exposeCounter(out, "relay_leaving_told_total", "answers of runners that said they are leaving",
                leaving_announced);
  exposeCounter(out, "relay_sent_in_backoff_total",
                "requests sent to runners that had asked for none", sent_in_backoff);
  exposeCounter(out, "relay_demands_told", "requests whose size the caller stated", demands_told);
  exposeCounter(out, "relay_demands_estimated",
                "requests for whose size recent requests of the route stand in", demands_estimated);
  exposeCounter(out, "relay_demands_rejected",
                "figures about the size of a request that were ignored", demands_rejected);
  exposeCounter(out, "relay_late_first_events",
                "streams whose first event came after the objective", late_first_events);
  exposeCounter(out, "relay_long_pauses",
                "pauses between two events that exceeded the pause objective", long_pauses);
  exposeCounter(out, "relay_events_total", "events relayed", events);
  exposeCounter(out, "relay_renewals_total", "lease renewals sent", renewals);
  exposeCounter(out, "relay_dropped_log_lines_total", "log lines dropped",
                line_log::droppedLines());
  first_event.expose(out, "relay_first_event_ms", "time to the first event of a stream");
  event_gap.expose(out, "relay_event_gap_ms", "pause between events of a stream");
  answer.expose(out, "relay_answer_ms", "time to a whole answer that is no stream");
}

} // namespace workshatch::daemon

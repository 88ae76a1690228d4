/// @file
/// The metrics endpoint of the relay role: its counters, and gauges of its components.
#include <cmath>

#include "adapters/metrics/process_memory.h"
#include "adapters/metrics/text_format.h"
#include "core/relay/group_state.h"
#include "daemon/relay/relay_role.h"

namespace workshatch::daemon {

namespace {

constexpr uint64_t kMsPerSecond = 1000;

} // namespace

http::awaitable<void> RelayRole::handleMetrics(http::Exchange& exchange) {
  std::string text;
  state_.stats.expose(text);
  metrics::exposeCounter(text, "relay_runner_reports_total",
                         "reports of runners that were asked for to find the end of a run",
                         state_.runner_reports.calls());
  exposeGauges(text);
  http::Response response =
      http::makeResponse(http::Status::ok, metrics::kContentType, std::move(text));
  co_await exchange.respond(std::move(response));
}

/// Exposes the tokens in progress at the engines whose slots are counted here.
void RelayRole::exposeOwnedEngines(std::string& out) const {
  metrics::LabelledCounts kv_tokens;
  metrics::LabelledCounts unread_tokens;
  for (const relay::SlotOwner::OwnedEngine& engine : slot_client_->ownedEngines()) {
    const auto runner = state_.runners.find(engine.runner);
    if (runner && engine.tokens.kv != 0) {
      kv_tokens[runner->entry.id()] = engine.tokens.kv;
    }
    if (runner && engine.tokens.unread != 0) {
      unread_tokens[runner->entry.id()] = engine.tokens.unread;
    }
  }
  metrics::exposeGauges(out, "relay_owned_kv_tokens",
                        "tokens in the KV cache of an engine whose places are counted here",
                        "runner", kv_tokens);
  metrics::exposeGauges(out, "relay_owned_unread_tokens",
                        "prompt tokens that such an engine has not read yet", "runner",
                        unread_tokens);
}

/// Exposes the records of where streams began, for callers that resume them.
void RelayRole::exposeStreamRecords(std::string& out) const {
  const StreamOriginClient::Counts& counts = stream_origins_->counts();
  metrics::exposeGauge(out, "relay_stream_records_stored",
                       "streams whose version was recorded at other relays as they began",
                       static_cast<int64_t>(counts.recorded));
  metrics::exposeGauge(out, "relay_stream_records_unacknowledged",
                       "of these: fewer than two relays acknowledged it in time",
                       static_cast<int64_t>(counts.unacknowledged));
  metrics::exposeGauge(out, "relay_stream_records_repeated",
                       "records of streams in progress that were stored again",
                       static_cast<int64_t>(counts.repeated));
  metrics::exposeGauge(out, "relay_stream_records_held", "records that are held here",
                       static_cast<int64_t>(stream_origins_->recordsHeld()));
  metrics::exposeGauge(out, "relay_stream_lookups_found",
                       "resumed streams whose version another relay or this one knew",
                       static_cast<int64_t>(counts.found));
  metrics::exposeGauge(out, "relay_stream_lookups_unknown",
                       "resumed streams of which the relays asked had no record",
                       static_cast<int64_t>(counts.unknown));
  metrics::exposeGauge(out, "relay_stream_lookups_unanswered",
                       "resumed streams for which no relay answered in time",
                       static_cast<int64_t>(counts.unanswered));
}

void RelayRole::exposeGauges(std::string& out) const {
  const int64_t now = clock_.monotonicMs();
  metrics::exposePeakMemory(out);
  metrics::exposeGauge(out, "relay_requests_in_progress", "requests that are being served",
                       static_cast<int64_t>(caller_server_.requestsInProgress()));
  metrics::exposeGauge(out, "relay_lease_age_ms", "time since the confirmed renewal was sent",
                       state_.lease.ageMs(now));
  metrics::exposeGauge(out, "relay_ready", "1 while callers are sent here", ready() ? 1 : 0);
  metrics::exposeGauge(out, "relay_configuration_version", "version in force",
                       static_cast<int64_t>(state_.routes ? state_.routes->version() : 0));
  metrics::exposeGauge(out, "relay_runner_list_version", "version of the list of runners",
                       static_cast<int64_t>(state_.runners.listVersion()));
  metrics::exposeGauge(out, "relay_relays", "relays that callers are told",
                       static_cast<int64_t>(relays_.relays_size()));
  metrics::exposeGauge(
      out, "relay_leader_search_ms",
      "time for which this relay has looked for the leader; 0: it has a link to it",
      control_.searchingForMs());
  metrics::exposeGauge(out, "relay_budget_relays",
                       "relays among which the slack of the retry budget is shared",
                       static_cast<int64_t>(state_.budget.relays()));
  const ControlLink::Traffic traffic = control_.traffic();
  metrics::exposeGauge(out, "relay_control_sent_bytes", "frames to the group's leaders",
                       static_cast<int64_t>(traffic.sent));
  metrics::exposeGauge(out, "relay_control_received_bytes", "frames from the group's leaders",
                       static_cast<int64_t>(traffic.received));
  const SlotClient::Counts& slots = slot_client_->counts();
  metrics::exposeGauge(out, "relay_places_granted", "places that owners gave",
                       static_cast<int64_t>(slots.granted));
  metrics::exposeGauge(out, "relay_places_refused", "claims for places that owners refused",
                       static_cast<int64_t>(slots.refused));
  metrics::exposeGauge(out, "relay_places_unanswered", "claims that no owner answered in time",
                       static_cast<int64_t>(slots.unanswered));
  metrics::exposeGauge(out, "relay_places_answered", "claims of other relays answered here",
                       static_cast<int64_t>(slots.answered));
  const RelayPeers::Counts& peers = peers_->counts();
  metrics::exposeGauge(out, "relay_peers_sent_bytes", "datagrams sent to other relays",
                       static_cast<int64_t>(peers.sent_bytes));
  metrics::exposeGauge(out, "relay_peers_received_bytes", "datagrams received from other relays",
                       static_cast<int64_t>(peers.received_bytes));
  metrics::exposeGauge(out, "relay_peers_unreadable", "datagrams that were no known message",
                       static_cast<int64_t>(peers.unreadable));
  metrics::exposeGauge(out, "relay_peers_late_answers", "answers that came after their limit",
                       static_cast<int64_t>(peers.late_answers));
  const PrefixClient::Counts& prefixes = prefix_client_->counts();
  metrics::exposeGauge(out, "relay_parts_source_named", "prompts for which a source was named",
                       static_cast<int64_t>(prefixes.source_named));
  metrics::exposeGauge(out, "relay_parts_no_source", "prompts whose runner keeps what there is",
                       static_cast<int64_t>(prefixes.no_source));
  metrics::exposeGauge(out, "relay_parts_unknown",
                       "questions that the relay asked could not answer",
                       static_cast<int64_t>(prefixes.unknown));
  metrics::exposeGauge(out, "relay_parts_unanswered", "questions that nobody answered in time",
                       static_cast<int64_t>(prefixes.unanswered));
  metrics::exposeGauge(out, "relay_parts_counted", "parts of prompts that are counted here",
                       static_cast<int64_t>(prefix_client_->trackedPrefixes()));
  exposeStreamRecords(out);
  metrics::exposeGauge(out, "relay_places_runners", "runners whose places are counted here",
                       static_cast<int64_t>(slot_client_->ownedRunners()));
  metrics::exposeGauge(out, "relay_places_held_back",
                       "claims refused since a runner was cold or its zone evacuated",
                       static_cast<int64_t>(slots.held_back));
  const PathProber::Counts& probes = path_prober_->counts();
  metrics::exposeGauge(out, "relay_path_probes", "connections made to see whether there is a path",
                       static_cast<int64_t>(probes.probes));
  metrics::exposeGauge(out, "relay_path_probes_failed", "of these: no connection came up",
                       static_cast<int64_t>(probes.probes_failed));
  metrics::exposeGauge(out, "relay_paths_lost_total", "times that a path to a service was lost",
                       static_cast<int64_t>(probes.paths_lost));
  metrics::LabelledCounts lost_paths;
  for (const std::string& service : path_prober_->lostServices()) {
    lost_paths[service] = 1;
  }
  metrics::exposeGauges(out, "relay_path_lost", "1 while there is no path to the service's runners",
                        "service", lost_paths);
  exposeOwnedEngines(out);
  const RunnerCrashReporter::Counts& crashes = crash_reporter_->counts();
  metrics::exposeGauge(out, "relay_runner_looks",
                       "connections made to see whether a runner that cut a request has ended",
                       static_cast<int64_t>(crashes.probes));
  metrics::exposeGauge(out, "relay_runner_looks_refused", "of these: it had",
                       static_cast<int64_t>(crashes.refused));
  metrics::exposeGauge(out, "relay_runner_end_reports", "reports of ended runners to the leader",
                       static_cast<int64_t>(crashes.reports));
  metrics::exposeGauge(out, "relay_incomplete_answer_bytes",
                       "held of responses that have not arrived completely",
                       static_cast<int64_t>(state_.incomplete_answers->bufferedBytes()));
  metrics::exposeGauge(out, "relay_body_bytes", "reserved for the bodies of requests",
                       static_cast<int64_t>(state_.bodies->heldBytes()));
  metrics::exposeGauge(out, "relay_body_peak_bytes", "most bytes reserved at once",
                       static_cast<int64_t>(state_.bodies->peakBytes()));
  metrics::exposeGauge(out, "relay_bodies_refused", "reservations that the budget refused",
                       static_cast<int64_t>(state_.bodies->refusals()));
  metrics::exposeGauge(out, "relay_read_ahead_bytes", "held for callers that read slowly",
                       static_cast<int64_t>(state_.read_ahead.bufferedBytes()));
  metrics::exposeGauge(out, "relay_readers_cut", "callers cut since others needed the memory",
                       static_cast<int64_t>(state_.read_ahead.cancelledReaders()));
  metrics::exposeGauge(out, "relay_work_times_told",
                       "answers with a figure of how long work takes at the runner",
                       static_cast<int64_t>(state_.stats.work_times_reported));
  metrics::exposeGauge(out, "relay_work_times_rejected", "such figures that no runner can have",
                       static_cast<int64_t>(state_.stats.work_times_rejected));
  metrics::exposeGauge(out, "relay_runner_entries_taken",
                       "entries read from lists of runners and their updates",
                       static_cast<int64_t>(state_.runners.entriesApplied()));
  metrics::LabelledCounts rollouts;
  for (const v1::Rollout& rollout : state_.runners.rollouts().rollouts().rollouts()) {
    ++rollouts[relay::nameOf(rollout.phase())];
  }
  metrics::exposeGauges(out, "relay_rollouts", "the last rollouts of services, by phase", "phase",
                        rollouts);
  metrics::exposeGauge(
      out, "relay_quarantined_requests", "requests that reach no runner since they ended some",
      static_cast<int64_t>(state_.quarantine.requests().size() - state_.quarantine.partCount()));
  metrics::exposeGauge(out, "relay_quarantined_parts",
                       "parts of prompts whose requests reach no runner since they ended some",
                       static_cast<int64_t>(state_.quarantine.partCount()));
  metrics::LabelledCounts evacuated;
  for (const v1::EvacuatedZone& zone : evacuations_.zones()) {
    evacuated[zone.zone()] = zone.since_ms() / kMsPerSecond;
  }
  metrics::exposeGauges(out, "relay_evacuated_since_s", "when the evacuation of a zone was ordered",
                        "zone", evacuated);
  metrics::LabelledCounts loads;
  metrics::LabelledCounts failures;
  for (const auto& runner : state_.runners.runners()) {
    if (runner->load() != 0) {
      loads[runner->entry.id()] = runner->load();
    }
    if (runner->failures_in_row != 0) {
      failures[runner->entry.id()] = runner->failures_in_row;
    }
  }
  exposeServiceTimes(out, now);
  metrics::exposeGauges(out, "relay_runner_load", "requests at a runner, from all relays", "runner",
                        loads);
  metrics::exposeGauges(out, "relay_runner_failures", "failures of a runner in a row", "runner",
                        failures);
}

/// Appends the measurements of the plain runners whose slots this relay owns.
void RelayRole::exposeServiceTimes(std::string& out, int64_t now_ms) const {
  const relay::ServiceTimes& measured = slot_client_->serviceTimes();
  metrics::LabelledCounts service_times;
  metrics::LabelledCounts failed;
  for (const auto& runner : state_.runners.runners()) {
    if (const auto time_ms = measured.measuredMs(runner->fingerprint, now_ms)) {
      service_times[runner->entry.id()] = static_cast<uint64_t>(std::llround(*time_ms));
    }
    const uint32_t percent = measured.failedPercent(runner->fingerprint, now_ms);
    if (percent != 0) {
      failed[runner->entry.id()] = percent;
    }
  }
  metrics::exposeGauges(out, "relay_service_time_ms",
                        "time for which a request uses a slot of an owned plain runner", "runner",
                        service_times);
  metrics::exposeGauges(out, "relay_failed_percent",
                        "requests that failed of those that ended at an owned plain runner",
                        "runner", failed);
}

} // namespace workshatch::daemon

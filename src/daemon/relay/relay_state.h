/// @file
/// The state that all requests of one relay process share: tables, budgets, queues and counters.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "adapters/address_overrides.h"
#include "adapters/http/runner_connection.h"
#include "adapters/settings/relay_settings.h"
#include "core/limits/body_budget.h"
#include "core/limits/memory_shares.h"
#include "core/relay/peer_relays.h"
#include "core/relay/planned_stop.h"
#include "core/relay/quarantine.h"
#include "core/relay/read_ahead_budget.h"
#include "core/relay/request_durations.h"
#include "core/relay/retry_budget.h"
#include "core/relay/rollout_outcomes.h"
#include "core/relay/route_table.h"
#include "core/relay/runner_table.h"
#include "core/relay/serving_lease.h"
#include "core/scheduling/demand_estimates.h"
#include "core/scheduling/priority_shares.h"
#include "core/scheduling/request_queues.h"
#include "core/scheduling/retry_after_scheduler.h"
#include "core/scheduling/tenant_shares.h"
#include "daemon/relay/path_prober.h"
#include "daemon/relay/prefix_client.h"
#include "daemon/relay/relay_stats.h"
#include "daemon/relay/runner_crash_reporter.h"
#include "daemon/relay/runner_reports.h"
#include "daemon/relay/slot_client.h"
#include "daemon/relay/stream_origin_client.h"
#include "ports/clock.h"
#include "ports/relay_dialect.h"

namespace workshatch::daemon {

/// Maximum number of requests of one service that wait at one relay for a slot. With 48 slots per
/// runner and ten relays, about ten slots become free for this relay while a request waits.
inline constexpr size_t kMaxQueuedRequests = 48;

/// Fraction of the permitted share of a version on trial that relays use. Callers repeat refused
/// requests, so there are fewer distinct requests than sends, and the share applies to requests.
inline constexpr double kTrialFraction = 0.8;

class ActiveRequest;

/// Lives on the relay's event loop; not safe for concurrent use.
struct RelayState {
  /// Clock and dialect must outlive the state.
  /// @param draw random number in [0, 1), drawn once per process, for the retry budget
  RelayState(const settings::RelaySettings& settings, const Clock& time, const RelayDialect& names,
             double draw = 0)
      : clock(time), dialect(names), memory(limits::sharesOf(settings.memory_bytes)),
        zone(settings.zone), runner_addresses(settings.runner_address_overrides),
        lease(relay::leaseLengthMs(settings.bounds.revoked_key_ms)), policy(settings.policy),
        runners(
            relay::RunnerTableOptions{.cap_factor = settings.bounds.load_cap_factor,
                                      .cold_factor = settings.bounds.cold_factor,
                                      .cold_slack = settings.bounds.cold_slack,
                                      .zones = settings.zones,
                                      .policy = settings.policy,
                                      .trial_share = kTrialFraction * settings.bounds.trial_share}),
        budget(relay::RetryBudgetOptions{.ratio = settings.bounds.repeat_ratio,
                                         .window_ms = settings.bounds.repeat_window_ms,
                                         .slack = settings.bounds.repeat_slack,
                                         .draw = draw}),
        peer_relays(settings.caller_address, settings.zone, settings.zones),
        forward_port(settings.forward_port),
        read_ahead(relay::ReadAheadLimits{
            .process_bytes = std::min(settings.read_ahead_bytes, memory.read_ahead_bytes)}),
        connections(time), runner_reports(names, RunnerDialer(runner_addresses), time),
        started_ms(time.monotonicMs()) {}

  const Clock& clock;
  const RelayDialect& dialect;
  const limits::MemoryShares memory;
  const std::string zone;
  const AddressOverrides runner_addresses;
  /// The configuration in force; null before the first one. Its version never decreases.
  std::shared_ptr<const relay::RouteTable> routes;
  relay::ServingLease lease;
  const relay::Policy policy;
  relay::RunnerTable runners;
  relay::RetryBudget budget;
  /// Null if slots are not claimed from their owners.
  std::shared_ptr<SlotClient> slot_client;
  /// Null if prefix sources are not looked up.
  std::shared_ptr<PrefixClient> prefix_client;
  /// Null if streams may go on at any version.
  std::shared_ptr<StreamOriginClient> stream_origins;
  /// Null if lost paths to runners are not detected; requests are not forwarded to other relays
  /// then.
  std::shared_ptr<PathProber> path_prober;
  relay::PeerRelays peer_relays;
  /// Port at which relays take requests that other relays forward; the same on all machines.
  const uint16_t forward_port;
  /// Null if crashes of runners are not reported.
  std::shared_ptr<RunnerCrashReporter> crash_reporter;
  /// Requests that must not be sent to any runner.
  relay::Quarantine quarantine;
  /// Outcomes of requests at the old and the new version, for rollouts in progress.
  relay::RolloutOutcomes rollout_outcomes;
  /// Requests in progress. Not owned; each adds and removes itself.
  std::set<ActiveRequest*> active_requests;
  relay::RequestQueues queue{kMaxQueuedRequests};
  relay::ReadAheadBudget read_ahead;
  /// The memory for the bodies of callers' and of forwarded requests.
  const std::shared_ptr<limits::BodyBudget> bodies =
      std::make_shared<limits::BodyBudget>(limits::BodyBudgetLimits{
          .process_bytes = memory.request_bytes, .reserved_bytes = memory.small_request_bytes});
  /// Counts what is held of responses that have not arrived completely.
  const std::shared_ptr<relay::ReadAheadBudget> incomplete_answers =
      std::make_shared<relay::ReadAheadBudget>(
          relay::ReadAheadLimits{.process_bytes = memory.answer_bytes});
  relay::RetryAfterScheduler retry_after_scheduler;
  relay::TenantUsage tenants;
  relay::DemandEstimates demand_estimates;
  relay::PriorityShares priority_shares;
  http::RunnerConnectionPool connections;
  RunnerReports runner_reports;
  RelayStats stats;
  const int64_t started_ms;
  /// How long requests of each route last; used by a planned stop.
  relay::RequestDurations request_durations;
  /// Set while a planned stop is in progress.
  std::optional<relay::PlannedStop> stop;
};

} // namespace workshatch::daemon

/// @file
/// What one relay knows and shares among its requests.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "adapters/http/runner_connection.h"
#include "adapters/settings/relay_settings.h"
#include "core/relay/quarantine.h"
#include "core/relay/read_ahead_budget.h"
#include "core/relay/request_queues.h"
#include "core/relay/retry_after_scheduler.h"
#include "core/relay/retry_budget.h"
#include "core/relay/rollout_outcomes.h"
#include "core/relay/route_table.h"
#include "core/relay/runner_table.h"
#include "core/relay/serving_lease.h"
#include "core/relay/tenant_shares.h"
#include "daemon/relay/prefix_client.h"
#include "daemon/relay/relay_stats.h"
#include "daemon/relay/runner_crash_reporter.h"
#include "daemon/relay/slot_client.h"
#include "ports/clock.h"
#include "ports/relay_dialect.h"

namespace workshatch::daemon {

/// Part of the bound on revoked keys for which a lease counts; the rest covers requests that are
/// already on their way to a runner.
inline constexpr double kLeaseFraction = 0.8;

/// Requests of a service that wait at one relay for a place, at most. With 48 places on a runner
/// and ten relays, some ten places become free here in the time that a request waits.
inline constexpr size_t kMaxQueuedRequests = 48;

/// Part of what a version on trial may get that relays send there: callers come back, so that there
/// are fewer requests than sends.
inline constexpr double kTrialFraction = 0.8;

class ActiveRequest;

/// Lives on the relay's event loop; not safe for concurrent use.
struct RelayState {
  /// @param lot from 0 to below 1, drawn anew by each process
  RelayState(const settings::RelaySettings& settings, const Clock& time, const RelayDialect& names,
             double draw = 0)
      : clock(time), dialect(names), zone(settings.zone),
        lease(static_cast<int64_t>(kLeaseFraction *
                                   static_cast<double>(settings.bounds.revoked_key_ms))),
        policy(settings.policy), runners(relay::RunnerTableOptions{
                                     .cap_factor = settings.bounds.load_cap_factor,
                                     .cold_factor = settings.bounds.cold_factor,
                                     .cold_slack = settings.bounds.cold_slack,
                                     .zones = settings.zones,
                                     .policy = settings.policy,
                                     .trial_share = kTrialFraction * settings.bounds.trial_share}),
        budget(relay::RetryBudgetOptions{.ratio = settings.bounds.repeat_ratio,
                                         .window_ms = settings.bounds.repeat_window_ms,
                                         .slack = settings.bounds.repeat_slack,
                                         .draw = draw}),
        read_ahead(relay::ReadAheadLimits{.process_bytes = settings.read_ahead_bytes}),
        connections(time), started_ms(time.monotonicMs()) {}

  const Clock& clock;
  const RelayDialect& dialect;
  const std::string zone;
  /// The configuration in force; null: none has arrived yet. Its version never goes down.
  std::shared_ptr<const relay::RouteTable> routes;
  relay::ServingLease lease;
  const relay::Policy policy;
  relay::RunnerTable runners;
  relay::RetryBudget budget;
  /// Null: owners are not asked for places.
  std::shared_ptr<SlotClient> slot_client;
  /// Null: nobody is asked for the sources of parts.
  std::shared_ptr<PrefixClient> prefix_client;
  /// Null: nobody is told of runners that ended.
  std::shared_ptr<RunnerCrashReporter> crash_reporter;
  /// Requests that reach no runner.
  relay::Quarantine quarantine;
  /// How requests went at both versions of rollouts that are under way.
  relay::RolloutOutcomes rollout_outcomes;
  /// Requests in progress; each takes itself out when it ends.
  std::set<ActiveRequest*> active_requests;
  relay::RequestQueues queue{kMaxQueuedRequests};
  relay::ReadAheadBudget read_ahead;
  relay::RetryAfterScheduler retry_after_scheduler;
  relay::TenantUsage tenants;
  http::RunnerConnectionPool connections;
  RelayStats stats;
  const int64_t started_ms;
  /// A planned stop is in progress.
  bool stopping = false;
  /// New requests are refused, since the process is about to end.
  bool refusing = false;
};

} // namespace workshatch::daemon

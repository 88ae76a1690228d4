/// @file
/// The relay role: serves callers' requests, tells callers the addresses of relays, and exchanges
/// leases, lists and reports with the group's leader.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/http/http_server.h"
#include "adapters/logging/log_flusher.h"
#include "adapters/metrics/process_memory.h"
#include "adapters/settings/relay_settings.h"
#include "adapters/worker_pool.h"
#include "daemon/configuration_transfer.h"
#include "daemon/relay/control_link.h"
#include "daemon/relay/lease_wait.h"
#include "daemon/relay/relay_request.h"
#include "daemon/relay/relay_state.h"
#include "daemon/relay_adapters.h"
#include "daemon/role.h"
#include "daemon/runner_list_reader.h"
#include "ports/seeded_random.h"

namespace workshatch::daemon {

/// Owns the servers, the tables and the links of one relay process. Lives on the first worker's
/// event loop, on which `start`, `stop` and `reload` run.
class RelayRole : public Role {
public:
  RelayRole(settings::RelaySettings settings, WorkerPool& workers, const Clock& clock,
            RelayAdapters adapters);

  Result<std::monostate> start() override;
  /// Begins a planned stop: stops accepting once callers have had time to see that the relay is
  /// draining, finishes the requests in progress, then calls `stopped`. Refuses new requests that
  /// might not end in time; ends those in progress shortly before the limit.
  void stop(std::function<void()> stopped) override;
  void reload(const settings::RelaySettings& settings) override;

private:
  http::awaitable<void> handle(http::Exchange& exchange);
  http::awaitable<void> handleForwarded(http::Exchange& exchange);
  http::awaitable<void> serve(http::Exchange& exchange, std::optional<ForwardOrigin> origin);
  http::Response refuseBody(const http::Request& head, bool forwarded);
  void logBodyRefusals();
  void onPathChange(const std::string& service, bool lost);
  void onRunnerEnded(uint64_t runner);
  std::string forwardAddress() const;
  http::awaitable<void> handleReady(http::Exchange& exchange);
  http::awaitable<void> handleResolve(http::Exchange& exchange);
  http::awaitable<void> handleMetrics(http::Exchange& exchange);
  http::awaitable<void> readRunnersWithoutGroup();
  http::awaitable<void> drain(std::function<void()> stopped);
  http::awaitable<void> awaitCallers(int64_t until_ms);
  size_t requestsInProgress() const;
  v1::LeaseRenewal makeRenewal(bool first_on_link);
  void onLeaseReply(const v1::LeaseReply& reply);
  /// @return false if the update does not apply to the current list.
  bool applyRunners(const v1::RunnerListUpdate& update);
  void applyServedVersions(const v1::ServedVersionList& list);
  void applyEvacuations(const v1::EvacuationList& evacuations);
  void applyQuarantine(const v1::QuarantineList& list);
  void applyRollouts(const v1::RolloutList& list);
  void addRollouts(v1::LeaseRenewal& renewal) const;
  bool applyConfiguration(const v1::ConfigurationUpdate& update);
  bool applyRelays(const v1::RelayListUpdate& update);
  void addSilentRelays(v1::LeaseRenewal& renewal);
  void housekeep();
  void checkForSuspension();
  bool ready() const;
  void exposeGauges(std::string& out) const;
  void exposeOwnedEngines(std::string& out) const;
  void exposeStreamRecords(std::string& out) const;
  void exposeServiceTimes(std::string& out, int64_t now_ms) const;
  http::ServerLimits callerLimits() const;
  std::vector<uint64_t> servicesOfHost(std::string_view target) const;
  uint32_t addressesLifetimeS() const;

  const settings::RelaySettings settings_;
  const Clock& clock_;
  boost::asio::io_context& context_;
  const RelayAdapters adapters_;
  SeededRandom random_;
  const uint64_t incarnation_;
  RelayState state_;
  ControlLink control_;
  RunnerListReader reader_;
  const std::shared_ptr<RelayPeers> peers_;
  /// Shared with the slots that requests in progress use, which may outlive the role.
  const std::shared_ptr<SlotClient> slot_client_;
  const std::shared_ptr<PrefixClient> prefix_client_;
  const std::shared_ptr<StreamOriginClient> stream_origins_;
  const std::shared_ptr<PathProber> path_prober_;
  const std::shared_ptr<RunnerCrashReporter> crash_reporter_;
  /// Quarantined requests that runners recently completed for this relay; reported in each renewal.
  std::vector<relay::RequestIdentity> completed_quarantined_;
  ReceivedConfiguration received_;
  v1::RelayList relays_;
  /// Datagram addresses of the relays that failed to answer since the last renewal.
  std::set<std::string> silent_peers_;
  v1::EvacuationList evacuations_;
  v1::RunnerLoads reported_loads_;
  int64_t last_group_reply_ms_ = 0;
  int64_t last_housekeeping_ms_ = 0;
  /// When this relay last read the list of runners from the platform itself.
  int64_t own_list_read_ms_ = 0;
  /// Refusals of bodies that stood in the log, and when they were logged last.
  uint64_t logged_body_refusals_ = 0;
  int64_t body_refusals_logged_ms_ = 0;
  http::Server caller_server_;
  /// Takes the requests that other relays forward.
  http::Server forward_server_;
  http::Server ready_server_;
  http::Server resolve_server_;
  http::Server metrics_server_;
  LeaseWait lease_wait_;
  boost::asio::steady_timer housekeeping_;
  LogFlusher log_flusher_;
  metrics::MemoryWatch memory_watch_;
};

} // namespace workshatch::daemon

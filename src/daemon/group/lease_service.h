/// @file
/// The leader's service for relays: confirms their leases, pushes updates to them, adds up their
/// load reports, and detects relays that have failed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/link/framed_link.h"
#include "core/relay/part_crash_counts.h"
#include "core/relay/relay_monitor.h"
#include "core/relay/runner_crash_counts.h"
#include "core/relay/silent_relays.h"
#include "daemon/group/group_replica.h"
#include "daemon/group/lease_updates.h"
#include "daemon/group/rollout_controller.h"
#include "daemon/group/served_version_controller.h"
#include "ports/clock.h"

namespace workshatch::daemon {

/// Answers lease renewals of relays. Used on the replica's event loop; not safe for concurrent use.
///
/// A renewal is confirmed only after a majority has answered a heartbeat that this leader sent
/// after the renewal arrived. The confirmation therefore brings the relay every configuration that
/// was acknowledged before it sent the renewal. Renewals that arrive close together share one round
/// of heartbeats.
class LeaseService {
public:
  /// @param link_mbps bandwidth of the machine's link in Mbit/s
  /// @param codec must outlive the service
  LeaseService(boost::asio::io_context& context, GroupReplica& replica, const Clock& clock,
               double link_mbps, const ConfigurationCodec& codec,
               ServedVersionOptions served_version_options)
      : replica_(replica), clock_(clock), updates_(replica, clock, link_mbps),
        rollout_controller_(replica, clock),
        served_versions_(replica, clock, codec, served_version_options), round_timer_(context),
        push_timer_(context) {}

  /// Handles a renewal. A replica that is not the leader answers with the leader's address.
  void handleRenewal(const std::shared_ptr<link::FramedLink>& link,
                     const v1::LeaseRenewal& renewal);

  /// Sends the leader's address to the relays that renewed while no leader was known.
  void leaderKnown();

  /// Handles a closed link: removes the relay unless another incarnation has renewed since.
  void linkClosed(const std::string& relay, uint64_t incarnation);

  /// Handles a runner list read from the platform. The leader pushes it to relays if runners
  /// changed.
  void updateRunnerList(v1::RunnerList list);

  /// @return the number of relays that renew with this replica.
  size_t relayCount() const { return relays_.size(); }
  const v1::RunnerList& runners() const { return updates_.runners(); }

  /// Handles a change of the replicated state. The leader pushes it to all relays.
  void stateChanged();

private:
  /// A relay that renews with this leader.
  struct Relay {
    std::weak_ptr<link::FramedLink> link;
    v1::LeaseRenewal renewal;
    SentVersions sent;
  };

  /// A renewal that waits for a majority to confirm the leader.
  struct PendingRenewal {
    std::weak_ptr<link::FramedLink> link;
    std::string relay;
    uint64_t sequence = 0;
  };

  void beginTermIfNew();
  void recordRenewal(const std::shared_ptr<link::FramedLink>& link,
                     const v1::LeaseRenewal& renewal);
  void addLeaderlessLink(const std::shared_ptr<link::FramedLink>& link);
  void sendLeaderAddress(const std::shared_ptr<link::FramedLink>& link, uint64_t sequence) const;
  void scheduleRound();
  void startRound();
  void roundEnded(std::vector<PendingRenewal> renewals, bool confirmed);
  void confirm(const PendingRenewal& renewal);
  void requestEarlyRenewals(const v1::LeaseRenewal& renewal);
  void dropSilentRelays();
  void refreshRelayList();
  v1::RunnerLoads totalLoads();
  v1::TenantPositions tenantsOverShare() const;
  void removeRelay(const std::string& relay);
  void setQuarantine();
  void orderQuarantine();
  void stepRollouts();
  /// Pushes evacuations, quarantine and rollouts to all relays that lack them, without a bandwidth
  /// limit.
  void pushOrders();
  /// Pushes the configuration and the runner list to all relays that lack them, as fast as the
  /// bandwidth limit allows.
  void pushLargeData();
  void pushUntilLimit();
  void send(const std::shared_ptr<link::FramedLink>& link, const v1::Frame& frame);

  GroupReplica& replica_;
  const Clock& clock_;
  std::map<std::string, Relay> relays_;
  LeaseUpdates updates_;
  RolloutController rollout_controller_;
  ServedVersionController served_versions_;
  relay::RelayMonitor relay_monitor_;
  relay::SilentRelays silent_relays_;
  /// Crash reports of runners. Kept across terms of leadership, since each relay sends a report
  /// only once on a link.
  relay::RunnerCrashCounts crash_counts_;
  relay::PartCrashCounts part_crash_counts_;
  /// Monotonic times from which the relay list and the load totals may be recomputed.
  int64_t refresh_due_ms_ = 0;
  int64_t load_totals_due_ms_ = 0;

  std::vector<PendingRenewal> pending_renewals_;
  bool round_in_progress_ = false;
  bool round_scheduled_ = false;
  int64_t round_started_ms_ = 0;
  boost::asio::steady_timer round_timer_;
  boost::asio::steady_timer push_timer_;
  bool push_scheduled_ = false;
  /// Links of relays that renewed while no leader was known.
  std::vector<std::weak_ptr<link::FramedLink>> leaderless_links_;
  /// Expires with this object, so that a read callback can detect its destruction.
  const std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace workshatch::daemon

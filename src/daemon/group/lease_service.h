/// @file
/// What the leader of the group does for the relays: leases, pushes, sums of loads.
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
#include "core/relay/relay_monitor.h"
#include "core/relay/runner_crash_counts.h"
#include "core/relay/silent_relays.h"
#include "daemon/group/group_replica.h"
#include "daemon/group/lease_updates.h"
#include "daemon/group/rollout_controller.h"
#include "ports/clock.h"

namespace workshatch::daemon {

/// Answers the renewals of relays. Lives on the replica's event loop; not safe for concurrent use.
///
/// A renewal is confirmed only after a majority has answered a heartbeat that this leader sent
/// after the renewal arrived; so a confirmed relay has, with the answer, every configuration
/// acknowledged before it asked. Renewals that arrive close together share a round of heartbeats.
class LeaseService {
public:
  /// @param link_mbps bandwidth of the machine's link in Mbit/s
  LeaseService(boost::asio::io_context& context, GroupReplica& replica, const Clock& clock,
               double link_mbps)
      : replica_(replica), clock_(clock), updates_(replica, clock, link_mbps),
        rollout_controller_(replica, clock), round_timer_(context), push_timer_(context) {}

  void handleRenewal(const std::shared_ptr<link::FramedLink>& link,
                     const v1::LeaseRenewal& renewal);

  /// Tells relays that asked while no leader was known.
  void leaderKnown();

  /// Notes that the link of a relay's process has ended.
  void linkClosed(const std::string& relay, uint64_t incarnation);

  /// Takes a list of runners read from the platform; pushes it when it differs.
  void updateRunnerList(v1::RunnerList list);

  /// Relays that renew with this replica.
  size_t relayCount() const { return relays_.size(); }
  const v1::RunnerList& runners() const { return updates_.runners(); }

  /// Takes note of a change of the replicated state; the leader pushes it to all relays.
  void stateChanged();

private:
  struct Relay {
    std::weak_ptr<link::FramedLink> link;
    v1::LeaseRenewal renewal;
    SentVersions sent;
  };

  /// A renewal that waits for its confirmation.
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
  void orderQuarantine();
  void stepRollouts();
  /// Tells all relays which zones are evacuated and which requests are in quarantine, at once.
  void pushOrders();
  /// Tells all relays the configuration and the list of runners, as fast as the link bears.
  void pushLargeParts();
  void pushUntilPaced();
  void send(const std::shared_ptr<link::FramedLink>& link, const v1::Frame& frame);

  GroupReplica& replica_;
  const Clock& clock_;
  std::map<std::string, Relay> relays_;
  LeaseUpdates updates_;
  RolloutController rollout_controller_;
  relay::RelayMonitor relay_monitor_;
  relay::SilentRelays silent_relays_;
  /// Kept across leaderships: it is what relays saw, and each relay tells it once on a link.
  relay::RunnerCrashCounts crash_counts_;
  int64_t refresh_due_ms_ = 0;
  int64_t load_totals_due_ms_ = 0;

  std::vector<PendingRenewal> pending_renewals_;
  bool round_in_progress_ = false;
  bool round_scheduled_ = false;
  int64_t round_started_ms_ = 0;
  boost::asio::steady_timer round_timer_;
  boost::asio::steady_timer push_timer_;
  bool push_scheduled_ = false;
  /// Links of relays that asked while no leader was known.
  std::vector<std::weak_ptr<link::FramedLink>> leaderless_;
  /// Ends with the hub; reads that are answered later are dropped then.
  const std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace workshatch::daemon

/// @file
/// The updates that the leader adds to its lease replies: each relay gets what it does not have
/// yet.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/relay/bulk_pacer.h"
#include "core/relay/leader_runner_list.h"
#include "core/relay/relay_list_history.h"
#include "core/relay/runner_list_history.h"
#include "daemon/configuration_transfer.h"
#include "daemon/group/group_replica.h"
#include "ports/clock.h"

namespace workshatch::daemon {

/// Versions of the data already sent on a relay's link. The relay has them once it has read
/// everything from the link.
struct SentVersions {
  uint64_t configuration = 0;
  uint64_t runner_list = 0;
  /// Fingerprint of the relay's runner list, from its last renewal.
  uint64_t runner_list_fingerprint = 0;
  uint64_t relay_list = 0;
  uint64_t evacuations = 0;
  uint64_t quarantine = 0;
  uint64_t rollouts = 0;
  uint64_t suspected_parts = 0;
  uint64_t served_versions = 0;
  std::vector<std::string> members;
  /// Monotonic time from which load totals may be sent again.
  int64_t load_totals_due_ms = 0;
};

/// Keeps the data that the leader distributes to relays and adds to each reply what the relay does
/// not have yet. Data that was sent on a link is not sent again while it is in transit, since
/// copies of a large configuration would fill the link of a slow relay. Used on the replica's event
/// loop; not safe for concurrent use.
class LeaseUpdates {
public:
  /// @param link_mbps bandwidth of the machine's link in Mbit/s
  LeaseUpdates(GroupReplica& replica, const Clock& clock, double link_mbps)
      : replica_(replica), clock_(clock), pacer_(link_mbps) {}

  /// Starts a new term of leadership, whose versions are higher than all earlier ones.
  void beginTerm();
  uint64_t term() const { return versions_.term(); }

  /// Replaces the runner list by one read from the platform.
  /// @return whether the change must be pushed to relays now.
  bool updateRunners(v1::RunnerList list);
  /// Keeps a list that was read while this replica was not the leader, for use if it becomes the
  /// leader soon.
  void updateRunnersWithoutLeader(v1::RunnerList list);
  const v1::RunnerList& runners() const { return runners_.list(); }
  /// @return the positions in the current list of the runners of an earlier list, by their position
  /// in that list; null if the earlier list is not known.
  const std::vector<std::optional<uint32_t>>* positionsFrom(uint64_t list_version) {
    return runner_history_.positionsFrom(list_version);
  }

  /// Replaces the list of relays that callers may be referred to.
  void setRelays(v1::RelayList list);
  /// Replaces the load totals over all relays.
  void setLoadTotals(v1::RunnerLoads totals) { load_totals_ = std::move(totals); }
  /// Replaces the list of tenants that exceed their share.
  void setOverShare(v1::TenantPositions over_share) { over_share_ = std::move(over_share); }
  /// Replaces the parts of prompts that are suspected of crashing runners.
  void setSuspectedParts(v1::SuspectedParts suspects) { suspected_parts_ = std::move(suspects); }
  /// Records the stored configuration, so that later ones can be sent as a difference to it.
  void recordConfiguration() { configurations_.add(replica_.stored()); }

  /// @return whether the relay has an older configuration than the stored one.
  bool lacksConfiguration(const SentVersions& sent) const;
  /// @return whether the relay lacks the current configuration or runner list.
  bool lacksLargeData(const SentVersions& sent) const;
  /// @return whether the relay lacks the current evacuations, quarantine, rollouts, suspects or
  /// served versions.
  bool lacksOrders(const SentVersions& sent) const;

  /// Each of these adds the data that the relay lacks to the reply and records it as sent.
  void addConfiguration(SentVersions& sent, v1::LeaseReply& reply);
  void addRunners(SentVersions& sent, v1::LeaseReply& reply);
  void addOrders(SentVersions& sent, v1::LeaseReply& reply) const;
  /// Adds all data that the relay lacks. The runner and relay lists are left for a later reply or
  /// push while the link is at its bandwidth limit.
  void addAll(SentVersions& sent, v1::LeaseReply& reply);

  /// @return whether the bandwidth limit allows sending large data now.
  bool linkReady() { return pacer_.ready(clock_.monotonicMs()); }
  /// Counts a reply that contains large data against the bandwidth limit.
  void recordSent(const v1::Frame& frame);

private:
  void addMembers(SentVersions& sent, v1::LeaseReply& reply) const;
  void addLoadTotals(SentVersions& sent, v1::LeaseReply& reply) const;

  GroupReplica& replica_;
  const Clock& clock_;
  relay::BulkPacer pacer_;
  ConfigurationUpdateBuilder configurations_;
  relay::LeaderVersions versions_;
  relay::LeaderRunnerList runners_;
  relay::RunnerListHistory runner_history_;
  relay::RelayListHistory relay_lists_;
  /// Requests in progress by runner, over all relays.
  v1::RunnerLoads load_totals_;
  v1::TenantPositions over_share_;
  v1::SuspectedParts suspected_parts_;
};

} // namespace workshatch::daemon

/// @file
/// What the leader tells relays with its answers: all that a relay lacks.
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

/// Versions that a relay has once it has read all that was sent on its link.
struct SentVersions {
  uint64_t configuration = 0;
  uint64_t runner_list = 0;
  /// Of the list of runners that the relay has, as it told last.
  uint64_t runner_list_fingerprint = 0;
  uint64_t relay_list = 0;
  uint64_t evacuations = 0;
  uint64_t quarantine = 0;
  uint64_t rollouts = 0;
  std::vector<std::string> members;
  /// When sums of loads may be sent again.
  int64_t load_totals_due_ms = 0;
};

/// The parts of the leader's answers, each sent once on a link: what is on its way is not sent
/// again, since a large configuration would fill the link of a slow relay with copies. Lives on the
/// replica's event loop; not safe for concurrent use.
class LeaseUpdates {
public:
  /// @param link_mbps bandwidth of the machine's link in Mbit/s
  LeaseUpdates(GroupReplica& replica, const Clock& clock, double link_mbps)
      : replica_(replica), clock_(clock), pacer_(link_mbps) {}

  /// Begins a new leadership: versions lie above all earlier ones.
  void beginTerm();
  uint64_t term() const { return versions_.term(); }

  /// Takes a list of runners read from the platform.
  /// @return whether relays are to be told now.
  bool updateRunners(v1::RunnerList list);
  /// Keeps a list that was read while nobody led, for a leadership that begins soon.
  void updateRunnersWithoutLeader(v1::RunnerList list);
  const v1::RunnerList& runners() const { return runners_.list(); }
  /// @return where the runners of an earlier list stand in the present one; null: not known.
  const std::vector<std::optional<uint32_t>>* positionsFrom(uint64_t list_version) {
    return runner_history_.positionsFrom(list_version);
  }

  /// Takes the relays that callers are told.
  void setRelays(v1::RelayList list);
  /// Takes the sums over all relays.
  void setLoadTotals(v1::RunnerLoads sums) { load_totals_ = std::move(sums); }
  void setOverShare(v1::TenantPositions over_share) { over_share_ = std::move(over_share); }
  /// Remembers the stored configuration, to tell relays the difference to it later.
  void rememberConfiguration() { configurations_.add(replica_.stored()); }

  bool lacksConfiguration(const SentVersions& sent) const;
  /// @return whether the relay lacks the configuration or the list of runners.
  bool lacksLargePart(const SentVersions& sent) const;
  /// @return whether the relay lacks evacuations, the quarantine or rollouts.
  bool lacksOrders(const SentVersions& sent) const;

  /// Add what the relay lacks, and note it as sent.
  void addConfiguration(SentVersions& sent, v1::LeaseReply& reply);
  void addRunners(SentVersions& sent, v1::LeaseReply& reply);
  void addOrders(SentVersions& sent, v1::LeaseReply& reply) const;
  /// Adds everything; lists that the link can't bear now come with a later answer or push.
  void addAll(SentVersions& sent, v1::LeaseReply& reply);

  /// @return whether the link bears large parts now.
  bool linkReady() { return pacer_.ready(clock_.monotonicMs()); }
  /// Counts a reply with large parts towards the link's pace.
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
};

} // namespace workshatch::daemon

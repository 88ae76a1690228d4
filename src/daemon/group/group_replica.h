/// @file
/// A replica of the group that holds the configuration, the evacuations and the quarantine: runs
/// the replicated log on an event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/raft/raft_node.h"
#include "core/relay/group_state.h"
#include "daemon/group/group_stats.h"
#include "daemon/open_calls.h"
#include "ports/clock.h"
#include "ports/log_store.h"
#include "ports/random.h"
#include "ports/replica_transport.h"

namespace workshatch::daemon {

struct GroupOptions {
  /// Where other replicas reach this one.
  std::string own_address;
  /// Addresses of some replicas; on the first start of all, of those that form the group.
  std::vector<std::string> seeds;
  /// The whole system starts for the first time, with empty disks.
  bool first_start = false;
  /// Voters that the group grows to without taking one out.
  size_t voters = 3;
  int64_t tick_ms = 30;
  uint32_t election_ticks = 10;
  /// Until a leader was heard: four ticks are some 40 round trips between zones of a region, so
  /// that two replicas seldom stand for election at the same time.
  uint32_t first_election_ticks = 4;
  /// A voter that is silent for so long may be replaced by a replica at a new address.
  int64_t silent_voter_limit_ms = 3000;
  /// The log is compacted after so many entries, or so many bytes of commands.
  uint64_t snapshot_entries = 48;
  uint64_t snapshot_bytes = uint64_t{512} * 1024;
  uint64_t trailing_entries = 8;
};

enum class StoreOutcome {
  /// Durable at a majority. Of a configuration: the version held is at least the one sent.
  Stored,
  /// This replica does not lead (any more); whether the change will be in force is not known.
  NotLeader,
};

/// One replica. Lives on its event loop; not safe for concurrent use. While the disk refuses
/// writes, the replica takes no part in anything. Each call gets one outcome, Unavailable from
/// `end` on.
class GroupReplica {
public:
  using StoreCallback = CallCallback<StoreOutcome>;
  /// Null: this replica can't confirm that it knows the newest.
  using ReadCallback = CallCallback<const v1::StoredConfiguration*>;
  using HelloSender = std::function<void(const std::string& address, v1::ReplicaHello hello)>;
  using JoinSender = std::function<void(const std::string& address, v1::JoinRequest request)>;

  GroupReplica(boost::asio::io_context& context, GroupOptions options, LogStore& store,
               const Clock& clock, Random& random, ReplicaTransport& transport);
  GroupReplica(const GroupReplica&) = delete;
  GroupReplica& operator=(const GroupReplica&) = delete;

  /// Set before `start`.
  void setHelloSender(HelloSender sender) { send_hello_ = std::move(sender); }
  void setJoinSender(JoinSender sender) { send_join_ = std::move(sender); }
  /// Runs after each change of the replicated state.
  void onChange(std::function<void()> handler) { on_change_ = std::move(handler); }
  /// Runs when this replica learns who leads, itself included once it can confirm reads.
  void onLeaderKnown(std::function<void()> handler) { on_leader_known_ = std::move(handler); }

  /// Reads what is stored and begins to tick.
  Result<std::monostate> start();
  /// Hands leadership over if this replica leads.
  void handOverLeadership();
  /// Refuses the calls that wait and all that come from now on.
  void end();

  void deliver(const v1::RaftBatch& batch);
  void helloReceived(const v1::ReplicaHello& hello);
  void joinReceived(const v1::JoinRequest& request);

  /// Proposes a configuration; decides when it is applied whether it is above the held one.
  void store(v1::StoredConfiguration configuration, StoreCallback done);
  /// Proposes an order about a zone or a request in quarantine; also one that the state already
  /// obeys, since another order about the same thing may be on its way to a majority.
  void order(const v1::GroupCommand& command, StoreCallback done);
  /// Reads the configuration after a majority has confirmed this leader.
  void read(ReadCallback done);

  /// @return whether a leader is known, this one included.
  bool knowsLeader() const { return node_->leader() != 0; }
  /// @return whether a majority answered this leader lately. Another replica may have become leader
  /// since: what has to be certain is read with `read`.
  bool leads();
  /// @return whether this replica takes itself for the leader.
  bool isLeader() const { return !unwritten_ && node_->isLeader(); }
  const std::string& ownAddress() const { return options_.own_address; }
  /// The leader's address as far as known; empty: not known or this one.
  std::string leaderAddress() const;
  std::vector<std::string> memberAddresses() const;
  const v1::StoredConfiguration& stored() const { return state_.configuration(); }
  const v1::EvacuationList& evacuations() const { return state_.evacuations(); }
  const v1::QuarantineList& quarantine() const { return state_.quarantine(); }
  const v1::RolloutList& rollouts() const { return state_.rollouts(); }
  /// @return the last rollout of the service; null: it never had one.
  const v1::Rollout* findRollout(const std::string& service) const {
    return relay::findRollout(state_.rollouts(), service);
  }
  uint64_t id() const { return id_; }
  /// @return whether this replica counts for majorities, as far as it knows.
  bool votes() const { return raft::isVoterOf(node_->membership(), id_); }
  uint64_t term() const { return node_->term(); }
  size_t voterCount() const;
  const GroupStats& stats() const { return stats_; }
  CallCounts callCounts() const { return calls_.counts(); }
  /// Steady time since this replica won its present leadership.
  int64_t leadingForMs() const;
  /// Steady time since this replica last knew a leader; zero: it does.
  int64_t leaderlessForMs() const;
  void setSeeds(std::vector<std::string> seeds) { options_.seeds = std::move(seeds); }

private:
  /// A command at its place in the log; another leader may put another entry there.
  struct Proposal {
    uint64_t index = 0;
    uint64_t term = 0;
    ReplyCallback<StoreOutcome> done;
  };

  void scheduleTick();
  void catchUpTicks();
  /// Processes soon, once for all that comes until then.
  void scheduleProcess();
  void process();
  bool writeReady();
  void finishReady();
  void applyEntry(const v1::RaftEntry& entry);
  void logChange(relay::GroupState::Change change) const;
  void propose(const v1::GroupCommand& command, ReplyCallback<StoreOutcome> done);
  void answerProposal(const v1::RaftEntry& applied);
  void failPending();
  void compactIfDue();
  void updateLeadership();
  void reportLeader();
  void findGroup();
  void sendHellos();
  void sendJoins();
  void formGroup();
  void makeNode(raft::RaftRecovery recovery);
  void advanceMembership();
  bool advanceJoin(const v1::JoinRequest& join);
  bool replaceSilentVoter(v1::RaftMembership membership);
  std::string addressOf(uint64_t member) const;
  bool isSeed(const std::string& address) const;

  boost::asio::io_context& context_;
  GroupOptions options_;
  LogStore& store_;
  const Clock& clock_;
  Random& random_;
  ReplicaTransport& transport_;
  boost::asio::steady_timer tick_timer_;
  HelloSender send_hello_;
  JoinSender send_join_;
  std::function<void()> on_change_;
  std::function<void()> on_leader_known_;

  uint64_t id_ = 0;
  std::unique_ptr<raft::RaftNode> node_;
  relay::GroupState state_;
  GroupStats stats_;
  int64_t next_tick_ms_ = 0;
  bool process_scheduled_ = false;
  /// What has to be written before anything else; set while the disk refuses it.
  std::optional<raft::RaftReady> unwritten_;
  uint64_t applied_ = 0;
  uint64_t bytes_since_snapshot_ = 0;
  bool was_leader_ = false;
  /// The leader that `on_leader_known_` was last told of; zero: none.
  uint64_t reported_leader_ = 0;
  uint64_t leader_term_ = 0;
  int64_t leading_since_ms_ = 0;
  int64_t leader_last_known_ms_ = 0;
  int64_t seek_due_ms_ = 0;
  int64_t membership_due_ms_ = 0;
  uint64_t next_context_ = 1;
  std::vector<Proposal> proposals_;
  std::map<uint64_t, ReplyCallback<const v1::StoredConfiguration*>> reads_;
  OpenCalls calls_;
  /// Identities by address of founders that belong to no group.
  std::map<std::string, uint64_t> founders_;
  bool group_exists_ = false;
  /// Replicas that ask to join, by address.
  std::map<std::string, v1::JoinRequest> join_requests_;
  /// Where messages of replicas came from that are not members here (yet).
  std::map<uint64_t, std::string> sender_addresses_;
  /// Ends with the replica; work that was posted before is dropped then.
  const std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace workshatch::daemon

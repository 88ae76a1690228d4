/// @file
/// A replica of the group that stores the configuration, evacuations, quarantine, rollouts and
/// served versions. Runs the replicated log on an event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/raft/raft_node.h"
#include "core/relay/group_state.h"
#include "core/relay/member_directory.h"
#include "daemon/group/group_stats.h"
#include "daemon/group/membership_report.h"
#include "daemon/group/voter_presence.h"
#include "daemon/open_calls.h"
#include "ports/clock.h"
#include "ports/log_store.h"
#include "ports/random.h"
#include "ports/replica_transport.h"

namespace workshatch::daemon {

struct GroupOptions {
  /// Address at which other replicas reach this one.
  std::string own_address;
  /// Addresses of some replicas. On the first start of the system, exactly the replicas that form
  /// the group; their stores then have the identities of founders (`founderIdentity`).
  std::vector<std::string> seeds;
  /// Number of voters up to which joining replicas become voters without replacing one.
  size_t voters = 3;
  int64_t tick_ms = 30;
  uint32_t election_ticks = 10;
  /// Upper bound of the first election timeout after a start, while no leader is known. Four ticks
  /// are about 40 round trips between zones of a region, so that two replicas seldom start an
  /// election at the same time.
  uint32_t first_election_ticks = 4;
  /// Time without a reply after which a voter may be replaced by a replica at a new address.
  int64_t silent_voter_limit_ms = 3000;
  /// The log is compacted after this many entries or this many bytes of commands, whichever comes
  /// first.
  uint64_t snapshot_entries = 48;
  uint64_t snapshot_bytes = uint64_t{512} * 1024;
  /// Number of entries before the snapshot that stay in the log for followers that lag behind.
  uint64_t trailing_entries = 8;
};

/// Result of a proposed change.
enum class StoreOutcome {
  /// The change is durable at a majority. For a configuration: the stored version is at least the
  /// proposed one.
  Stored,
  /// This replica is not the leader, or could not confirm that the change was committed. The change
  /// may still be committed later.
  NotLeader,
};

/// One replica of the group. Runs on its event loop; not safe for concurrent use. While disk writes
/// fail, also from the start on, the replica ignores Raft messages and answers changes and reads as
/// if it were not the leader. Each call gets exactly one outcome, which is Unavailable after `end`
/// was called.
class GroupReplica {
public:
  using StoreCallback = CallCallback<StoreOutcome>;
  /// Receives the configuration, or null if a majority did not confirm this replica as the leader.
  using ReadCallback = CallCallback<const v1::StoredConfiguration*>;
  using HelloSender = std::function<void(const std::string& address, v1::ReplicaHello hello)>;
  using JoinSender = std::function<void(const std::string& address, v1::JoinRequest request)>;
  using NoticeSender = std::function<void(const std::string& address, v1::MembersNotice notice)>;
  using LeaveSender = std::function<void(const std::string& address, v1::LeaveRequest request)>;
  using LeaveReplySender = std::function<void(const std::string& address, v1::LeaveReply reply)>;

  GroupReplica(boost::asio::io_context& context, GroupOptions options, LogStore& store,
               const Clock& clock, Random& random, ReplicaTransport& transport);
  GroupReplica(const GroupReplica&) = delete;
  GroupReplica& operator=(const GroupReplica&) = delete;

  /// All senders must be set before `start`.
  void setHelloSender(HelloSender sender) { send_hello_ = std::move(sender); }
  void setJoinSender(JoinSender sender) { send_join_ = std::move(sender); }
  void setNoticeSender(NoticeSender sender) { send_notice_ = std::move(sender); }
  void setLeaveSender(LeaveSender sender) { send_leave_ = std::move(sender); }
  void setLeaveReplySender(LeaveReplySender sender) { send_leave_reply_ = std::move(sender); }
  /// Sets a handler that runs after each change of the replicated state.
  void onChange(std::function<void()> handler) { on_change_ = std::move(handler); }
  /// Sets a handler that runs when a new leader becomes known. For this replica as the leader, it
  /// runs once reads can be confirmed.
  void onLeaderKnown(std::function<void()> handler) { on_leader_known_ = std::move(handler); }

  /// Loads the stored state and starts the tick timer. Fails if the stored state cannot be read,
  /// but not if the disk refuses writes.
  Result<std::monostate> start();
  /// Starts a transfer of leadership if this replica is the leader.
  void handOverLeadership();
  /// Hands the leadership over, and the vote to a learner that has caught up, if there is one. The
  /// replica takes part in the group until it is ended.
  void leave();
  /// @return whether the process can end without taking a vote from the group that a learner could
  /// have: the vote was handed over, or no learner can take it. Valid after `leave`.
  bool mayEnd() const;
  /// @return whether this replica may count for a majority. False only once it is committed, as far
  /// as this replica was told, that it does not.
  bool hasVote() const;
  /// Refuses all open calls and all later ones.
  void end();

  /// Handle messages from other replicas.
  void deliver(const v1::RaftBatch& batch);
  void helloReceived(const v1::ReplicaHello& hello);
  void joinReceived(const v1::JoinRequest& request);
  void noticeReceived(const v1::MembersNotice& notice);
  /// Records addresses that a relay knew as members, for a replica outside the group.
  void contactsTold(const std::vector<std::string>& addresses);
  void leaveReceived(const v1::LeaveRequest& request);
  void leaveReplyReceived(const v1::LeaveReply& reply);

  /// Proposes a configuration. It takes effect only if, when it is applied, its version is above
  /// the stored one.
  void store(v1::StoredConfiguration configuration, StoreCallback done);
  /// Proposes a command that is no configuration. An order that matches the current state
  /// is proposed too, since a conflicting order may be uncommitted.
  void order(const v1::GroupCommand& command, StoreCallback done);
  /// Reads the configuration after a majority has confirmed that this replica is the leader.
  void read(ReadCallback done);

  /// @return whether a leader is known, which may be this replica.
  bool knowsLeader() const;
  /// @return whether this replica is the leader and a majority answered it within the last election
  /// timeout. Another replica may have been elected since; use `read` where certainty is required.
  bool leads();
  /// @return whether this replica considers itself the leader. Unlike `leads`, does not check that
  /// a majority answered recently. False while disk writes fail.
  bool isLeader() const { return !unwritten_ && node_->isLeader(); }
  const std::string& ownAddress() const { return options_.own_address; }
  /// @return the leader's address; empty if the leader is unknown or is this replica.
  std::string leaderAddress() const;
  /// @return the leader's address; if this replica is outside the group, has known no leader for
  /// some time or cannot write its disk, as another process named it recently. Empty if the leader
  /// is unknown or is this replica.
  std::string hintedLeaderAddress() const;
  std::vector<std::string> memberAddresses() const;
  /// @return where members and the leader are, as far as this replica knows.
  v1::MembersNotice makeNotice() const;
  const v1::StoredConfiguration& stored() const { return state_.configuration(); }
  const v1::EvacuationList& evacuations() const { return state_.evacuations(); }
  const v1::QuarantineList& quarantine() const { return state_.quarantine(); }
  const v1::RolloutList& rollouts() const { return state_.rollouts(); }
  const v1::ServedVersionList& servedVersions() const { return state_.servedVersions(); }
  /// @return the last rollout of the service; null if it never had one.
  const v1::Rollout* findRollout(const std::string& service) const {
    return relay::findRollout(state_.rollouts(), service);
  }
  uint64_t id() const { return id_; }
  /// @return whether this replica is a voter in the latest membership that it knows.
  bool votes() const { return raft::isVoterOf(node_->membership(), id_); }
  uint64_t term() const { return node_->term(); }
  size_t voterCount() const;
  /// @return how this replica stands in its group now.
  MembershipView membershipView() const;
  const GroupStats& stats() const { return stats_; }
  CallCounts callCounts() const { return calls_.counts(); }
  /// @return time since this replica became the leader, in ms of the monotonic clock; zero if it is
  /// not the leader.
  int64_t leadingForMs() const;
  /// @return time since this replica last knew a leader, in ms of the monotonic clock; zero if it
  /// knows one.
  int64_t leaderlessForMs() const;
  void setSeeds(std::vector<std::string> seeds);

private:
  /// After this time without a leader, a voter sends join requests, since it may have been removed
  /// from the group.
  static constexpr int64_t kLeaderlessLimitMs = 2500;

  /// A proposed command at its log index. Another leader may overwrite the index with another
  /// entry.
  struct Proposal {
    uint64_t index = 0;
    uint64_t term = 0;
    ReplyCallback<StoreOutcome> done;
  };

  void scheduleTick();
  void catchUpTicks();
  /// Schedules one run of `process` for all events that arrive before it runs.
  void scheduleProcess();
  void process();
  void beginTime();
  bool writeReady();
  bool recordWrite(const Result<std::monostate>& written);
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
  bool grouped() const;
  v1::ReplicaHello makeHello() const;
  void sendHellos();
  void sendJoins();
  /// @return whether this replica is a member, as far as it was told.
  bool isMember() const { return isMember(id_); }
  bool isMember(uint64_t id) const;
  /// @return whether others may believe what this replica says of the members and the leader: it is
  /// a member, its disk takes writes, and it knew a leader recently, which a replica that was
  /// removed while it was down does not.
  bool speaksForGroup() const;
  bool namesLeader() const;
  /// Takes a step towards the group soon, if this replica is outside it.
  void seekGroupNow();
  void announceMembers();
  void groupFound(bool established);
  void formGroupIfDue();
  void formGroup();
  void makeNode(raft::RaftRecovery recovery);
  void advanceMembership();
  bool advanceOneStep();
  bool answers(uint64_t member) const;
  bool hasCaughtUp(uint64_t member) const;
  int64_t silentForMs(uint64_t member) const;
  int64_t voterSilentForMs(uint64_t voter) const;
  void tellPresence();
  bool advanceJoin(const v1::JoinRequest& join);
  bool advanceDeparture(uint64_t voter);
  bool hasSuccessor() const;
  bool isVoter(uint64_t member) const { return raft::isVoterOf(node_->membership(), member); }
  void requestLeave();
  bool proposeStep(const char* step, const v1::RaftMember& member,
                   const v1::RaftMembership& membership);
  bool replaceSilentVoter(v1::RaftMembership membership);
  std::string addressOf(uint64_t member) const;
  static bool isReadable(const v1::RaftMessage& message);
  Standing standing() const;
  LeaderView leaderView() const;
  void recordStanding();
  /// @return the identity of the group that this replica belongs to or, before it has a membership,
  /// of the first one that sent it a message; zero: not known.
  uint64_t groupIdentity() const;
  bool needsGroup(const v1::RaftMessage& message) const;
  /// @return false for a message of another group, which must not reach the node.
  bool admits(const v1::RaftMessage& message);
  void noteLeader(const v1::RaftBatch& batch);
  void recordContradiction(const v1::RaftMessage& message);
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
  NoticeSender send_notice_;
  LeaveSender send_leave_;
  LeaveReplySender send_leave_reply_;
  std::function<void()> on_change_;
  std::function<void()> on_leader_known_;

  uint64_t id_ = 0;
  std::unique_ptr<raft::RaftNode> node_;
  relay::GroupState state_;
  GroupStats stats_;
  /// Where to find the group; of use while this replica is outside it or knows no leader.
  relay::MemberDirectory directory_;
  int64_t next_tick_ms_ = 0;
  bool process_scheduled_ = false;
  /// Raft output that is not durable yet. Remains set while disk writes fail.
  std::optional<raft::RaftReady> unwritten_;
  /// Address of the leader that was heard last since disk writes fail; empty: none.
  std::string heard_leader_;
  /// Whether what was read at the start is durable. Until then, `unwritten_` is set.
  bool settled_ = false;
  /// Index of the last applied log entry.
  uint64_t applied_ = 0;
  uint64_t bytes_since_snapshot_ = 0;
  bool was_leader_ = false;
  /// The leader last reported to `on_leader_known_`; zero if none.
  uint64_t reported_leader_ = 0;
  uint64_t leader_term_ = 0;
  int64_t leading_since_ms_ = 0;
  int64_t leader_last_known_ms_ = 0;
  /// Whether a leader was known since the start.
  bool leader_was_known_ = false;
  int64_t find_group_due_ms_ = 0;
  int64_t announcement_due_ms_ = 0;
  int64_t contacts_log_due_ms_ = 0;
  int64_t membership_due_ms_ = 0;
  uint64_t next_context_ = 1;
  std::vector<Proposal> proposals_;
  /// Callbacks of unconfirmed reads, by read context.
  std::map<uint64_t, ReplyCallback<const v1::StoredConfiguration*>> reads_;
  OpenCalls calls_;
  /// Whether this replica is a founder that has not formed the group yet. It ignores Raft messages.
  bool undecided_ = false;
  /// Addresses of the other founders that have not formed the group when they were last heard.
  std::set<std::string> founders_;
  int64_t started_ms_ = 0;
  /// Identity of the group that first sent a message to this identity of the replica.
  uint64_t first_group_ = 0;
  /// Whether a group is known to exist, with or without this replica.
  bool group_exists_ = false;
  /// Join requests by the address of the sender.
  std::map<std::string, v1::JoinRequest> join_requests_;
  /// Identities of voters that are being stopped, with the monotonic time in ms until which their
  /// last request counts.
  std::map<uint64_t, int64_t> departures_;
  /// Whether this replica is being stopped.
  bool leaving_ = false;
  int64_t leave_request_due_ms_ = 0;
  v1::LeaveReply leave_reply_;
  /// Addresses of senders of messages by identity, for replicas that are not members yet.
  std::map<uint64_t, std::string> sender_addresses_;
  /// Last logged term of each replica whose messages contradicted the log.
  std::map<uint64_t, uint64_t> contradictions_;
  VoterPresence presence_;
  int64_t presence_due_ms_ = 0;
  /// Place in the group that was last logged.
  Standing standing_ = Standing::Outside;
  /// Expires with the replica, so that posted work can detect its destruction.
  const std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace workshatch::daemon

/// @file
/// One replica of the replicated log: the Raft algorithm as a pure state machine.
///
/// Source: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014. Beyond the basic algorithm:
/// pre-vote and check-quorum (9.6, 6.4.1), read index (6.4), leadership transfer (3.10), learners
/// and one-at-a-time membership change (4.1 to 4.2), snapshots (5).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/raft/raft_log.h"
#include "ports/random.h"
#include "workshatch/v1/raft.pb.h"

namespace workshatch::raft {

/// Times are in ticks; the owner of the node decides how long a tick is.
struct RaftOptions {
  uint32_t heartbeat_ticks = 1;
  /// A follower that hears no leader for this long, up to twice as long, stands for election.
  uint32_t election_ticks = 10;
  /// A replica that has heard no leader since it started stands for election after at least one
  /// tick and at most so many, then twice as many and so on, until it is as slow as any follower;
  /// zero: as any follower at once. After a restart of all replicas nobody has to be waited for,
  /// and where a leader is alive, pre-vote keeps the others from voting.
  uint32_t first_election_ticks = 0;
  /// A replica that started lately votes for nobody, since a leader may still rely on its lease.
  /// Without it `hasLeaderLease` promises nothing, and only confirmed reads may be relied on.
  bool withhold_votes_after_restart = true;
  /// Entries kept before a snapshot, for followers that lag a little.
  uint64_t trailing_entries = 1000;
  size_t max_append_bytes = 1U << 20U;
};

/// What survived on the disk of a replica that starts.
struct RaftRecovery {
  v1::RaftHardState hard_state;
  RaftLog log;
};

/// A read that may be answered once the state machine has applied `index`.
struct ReadConfirmation {
  uint64_t context = 0;
  uint64_t index = 0;
  /// False: this replica can't answer; the read goes to another.
  bool confirmed = false;
};

/// What the node's owner must do now, in the order of the members.
struct RaftReady {
  std::optional<v1::RaftHardState> hard_state;
  /// Write and use this snapshot in place of log and state.
  std::optional<v1::RaftSnapshot> snapshot;
  /// Drop entries from this index on; zero: none.
  uint64_t truncate_from = 0;
  std::vector<v1::RaftEntry> entries;
  /// Sent only after all of the above is durable.
  std::vector<v1::RaftMessage> messages;
  /// Applied to the state machine only after all of the above is durable.
  std::vector<v1::RaftEntry> committed;
  std::vector<ReadConfirmation> reads;

  /// @return whether anything has to be written to the disk.
  bool needsSync() const {
    return snapshot.has_value() || truncate_from != 0 || !entries.empty() || hard_state.has_value();
  }
};

/// @return whether `member` is a voter of `membership`.
bool isVoterOf(const v1::RaftMembership& membership, uint64_t member);

enum class RaftRole { Follower, PreCandidate, Candidate, Leader };

/// One Raft replica. Input: ticks, messages, proposals and `persisted`. Output: `takeReady`.
///
/// Guarantees, given that the owner keeps the order stated at RaftReady: at most one leader a
/// term; committed entries are never lost or changed; a confirmed read sees all entries committed
/// before it was asked for. Not safe for concurrent use.
class RaftNode {
public:
  /// @param random outlives the node.
  RaftNode(uint64_t id, RaftOptions options, Random& random, RaftRecovery recovery);

  void tick();
  void step(const v1::RaftMessage& message);

  /// Appends a command when this replica leads.
  /// @return its index, or nothing when the replica is not the leader.
  std::optional<uint64_t> propose(std::string command);

  /// Appends a membership when this replica leads, has committed an entry of its term and no other
  /// change is in progress. At most one voter may differ from the present membership.
  std::optional<uint64_t> proposeMembership(const v1::RaftMembership& membership);

  /// @return whether the membership in force is committed, so that another change may follow.
  bool membershipCommitted() const;

  /// Asks for the commit index by which a linearizable read may be answered.
  void requestRead(uint64_t context);

  /// Hands leadership to the voter that is furthest, when there is one. Steps down after an
  /// election timeout in any case, since the request to the other may still be under way.
  void transferLeadership();

  /// Moves out what has to be done. `persisted` is called once its writes are durable.
  RaftReady takeReady();
  void persisted();

  /// Takes note of a snapshot of the state machine at `index`, which was applied.
  void compact(uint64_t index, std::string state);

  uint64_t id() const { return id_; }
  uint64_t term() const { return hard_state_.term(); }
  RaftRole role() const { return role_; }
  bool isLeader() const { return role_ == RaftRole::Leader; }
  /// Identity of the leader of this term as far as known; zero: not known.
  uint64_t leader() const { return leader_; }
  const v1::RaftHardState& hardState() const { return hard_state_; }
  uint64_t commitIndex() const { return commit_index_; }
  const RaftLog& log() const { return log_; }
  v1::RaftMembership membership() const { return membership_; }
  /// Index up to which a member's log is known to match; leader only.
  uint64_t matchIndex(uint64_t member) const;

  /// Ticks since a member last answered; leader only, zero for members that are not known.
  uint64_t ticksSinceReply(uint64_t member) const;

  /// @return whether a majority answered a heartbeat that was sent less than an election timeout
  /// ago. With `withhold_votes_after_restart`, no other replica can have become leader then.
  bool hasLeaderLease() const;

  /// @return whether the leader has committed an entry of its own term.
  bool committedInTerm() const;

private:
  static constexpr uint32_t kMaxTimeoutDoublings = 8;

  struct Progress {
    uint64_t match = 0;
    uint64_t next = 1;
    /// Tick of the last reply, for check-quorum.
    uint64_t last_reply_tick = 0;
    /// Highest heartbeat round that was answered.
    uint64_t round = 0;
    /// Tick at which a snapshot was last sent; zero: none outstanding.
    uint64_t snapshot_tick = 0;
  };

  struct PendingRead {
    uint64_t context = 0;
    uint64_t index = 0;
    uint64_t round = 0;
  };

  // Elections (raft_election.cc).
  void becomeFollower(uint64_t term, uint64_t leader);
  void becomePreCandidate();
  void becomeCandidate(bool transfer);
  void becomeLeader();
  void campaign(v1::RaftMessageType type, uint64_t term, bool transfer);
  void handleVoteRequest(const v1::RaftMessage& message);
  void handleVoteReply(const v1::RaftMessage& message);
  void handleTimeoutNow(const v1::RaftMessage& message);
  bool wonElection() const;
  bool hasRecentLeaderContact() const;
  void resetElectionTimer();
  void checkQuorum();

  // Replication (raft_replication.cc).
  void appendAsLeader(v1::RaftEntry entry);
  void broadcastAppend();
  void sendAppend(uint64_t peer, bool heartbeat);
  void sendSnapshot(uint64_t peer, Progress& progress);
  void handleAppend(const v1::RaftMessage& message);
  void handleAppendReply(const v1::RaftMessage& message);
  void handleSnapshot(const v1::RaftMessage& message);
  void appendFromLeader(const v1::RaftMessage& message);
  uint64_t conflictHint(uint64_t index) const;
  void advanceCommit();
  void commitTo(uint64_t index);
  void startHeartbeatRound();
  void confirmReads();
  void failReads();
  uint64_t quorumRound() const;
  uint64_t roundOf(uint64_t member) const;

  // Shared.
  void send(v1::RaftMessage message);
  void refreshMembership();
  bool isVoter(uint64_t member) const { return isVoterOf(membership_, member); }
  size_t voterCount() const;
  size_t quorum() const { return (voterCount() / 2) + 1; }

  const uint64_t id_;
  const RaftOptions options_;
  /// Whether this replica may have voted or heard a leader before it started.
  const bool restarted_;
  Random& random_;

  v1::RaftHardState hard_state_;
  RaftLog log_;
  /// Newest membership in the log; in force as soon as it is appended.
  v1::RaftMembership membership_;
  RaftRole role_ = RaftRole::Follower;
  uint64_t leader_ = 0;
  uint64_t commit_index_ = 0;
  /// Last index handed out as committed.
  uint64_t delivered_index_ = 0;
  /// Last index that is durable here.
  uint64_t durable_index_ = 0;
  /// Last index handed out for writing.
  uint64_t submitted_index_ = 0;

  uint64_t now_ = 0;
  /// Tick of the last message of the present leader; zero: never.
  uint64_t last_leader_tick_ = 0;
  uint64_t election_deadline_ = 0;
  /// Elections that this replica stood for, as far as its first timeouts depend on them.
  uint32_t elections_since_start_ = 0;
  uint64_t heartbeat_due_ = 0;
  uint64_t check_quorum_due_ = 0;
  uint64_t transfer_target_ = 0;
  uint64_t transfer_deadline_ = 0;

  /// Leader: progress of each other member. Candidate: granted votes.
  std::map<uint64_t, Progress> progress_;
  std::map<uint64_t, bool> votes_;

  uint64_t round_ = 0;
  /// Leader: tick at which each round that is not yet answered by a majority was sent.
  std::map<uint64_t, uint64_t> round_ticks_;
  /// Leader: tick of sending of the newest round that a majority answered.
  uint64_t last_quorum_tick_ = 0;
  std::vector<PendingRead> pending_reads_;
  uint64_t term_start_index_ = 0;

  RaftReady ready_;
  bool hard_state_changed_ = false;
};

} // namespace workshatch::raft

/// @file
/// One replica of the replicated log: the Raft algorithm as a state machine without I/O.
///
/// Source: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014. In addition to the basic
/// algorithm: pre-vote and check-quorum (9.6, 6.4.1), read index (6.4), leadership transfer (3.10),
/// learners and one-at-a-time membership change (4.1 to 4.2), snapshots (5).
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

/// Options of a replica. Times are in ticks; the owner of the node determines the length of a tick.
struct RaftOptions {
  uint32_t heartbeat_ticks = 1;
  /// A follower without contact to a leader starts an election after this time, plus a random part
  /// of up to the same time.
  uint32_t election_ticks = 10;
  /// Limit of the first election timeout of a replica that has had no contact with a leader since
  /// it started; the timeout is at least one tick. The limit doubles with each election until it
  /// reaches the ordinary timeout. Zero: the ordinary timeout applies from the start. After a
  /// restart of all replicas there is no leader to wait for; if there is one, pre-vote prevents the
  /// election.
  uint32_t first_election_ticks = 0;
  /// Whether a replica withholds its vote for an election timeout after a restart, because a leader
  /// may still rely on its lease. If false, `hasLeaderLease` guarantees nothing, and only confirmed
  /// reads may be relied on.
  bool withhold_votes_after_restart = true;
  /// Entries kept before a snapshot, so that followers that lag slightly do not need the snapshot.
  uint64_t trailing_entries = 1000;
  /// Maximum size of the entries in one message; a single larger entry is still sent.
  size_t max_append_bytes = 1U << 20U;
};

/// State that a starting replica has read from its disk.
struct RaftRecovery {
  v1::RaftHardState hard_state;
  RaftLog log;
};

/// Outcome of a read request. A confirmed read may be answered once the state machine has applied
/// `index`.
struct ReadConfirmation {
  uint64_t context = 0;
  uint64_t index = 0;
  /// False: this replica cannot answer the read; another replica has to.
  bool confirmed = false;
};

/// Work for the owner of the node, to be done in the order of the members.
struct RaftReady {
  std::optional<v1::RaftHardState> hard_state;
  /// Store this snapshot, and replace the log and the state machine by it.
  std::optional<v1::RaftSnapshot> snapshot;
  /// Remove entries from this index on; zero: none.
  uint64_t truncate_from = 0;
  /// Append these entries to the stored log.
  std::vector<v1::RaftEntry> entries;
  /// Messages to send, but only after all of the above is durable.
  std::vector<v1::RaftMessage> messages;
  /// Entries to apply to the state machine, but only after all of the above is durable.
  std::vector<v1::RaftEntry> committed;
  std::vector<ReadConfirmation> reads;

  /// @return whether anything has to be written to disk.
  bool needsSync() const {
    return snapshot.has_value() || truncate_from != 0 || !entries.empty() || hard_state.has_value();
  }
};

/// @return whether `member` is a voter of `membership`.
bool isVoterOf(const v1::RaftMembership& membership, uint64_t member);

/// @return whether `membership` has a learner.
bool hasLearner(const v1::RaftMembership& membership);

enum class RaftRole { Follower, PreCandidate, Candidate, Leader };

/// One Raft replica. Its inputs are ticks, messages, proposals and calls of `persisted`; its output
/// is `takeReady`.
///
/// Guarantees, provided that the owner keeps the order stated at RaftReady: there is at most one
/// leader per term; committed entries are never lost or changed; a confirmed read reflects all
/// entries that were committed before it was requested. Not safe for concurrent use.
class RaftNode {
public:
  /// @param random must outlive the node.
  RaftNode(uint64_t id, RaftOptions options, Random& random, RaftRecovery recovery);

  /// Advances the node's time by one tick.
  void tick();
  /// Processes a message from another replica.
  /// @return false if the message contradicts itself or this replica's log, so that its content was
  /// ignored. A sender that lost a part of its log can send such a message.
  bool step(const v1::RaftMessage& message);

  /// Appends a command if this replica is the leader.
  /// @return the index of the command, or nothing when the replica is not the leader or is
  /// transferring leadership.
  std::optional<uint64_t> propose(std::string command);

  /// Appends a membership if this replica is the leader, has committed an entry of its term, and no
  /// other change is in progress. At most one voter may differ from the current membership.
  /// @return the index of the entry, or nothing when it was not appended.
  std::optional<uint64_t> proposeMembership(const v1::RaftMembership& membership);

  /// @return whether the membership in force is committed, so that another change may be proposed.
  bool membershipCommitted() const;

  /// Requests the commit index at which a linearizable read may be answered. The outcome is a
  /// ReadConfirmation with the same `context`.
  void requestRead(uint64_t context);

  /// Transfers leadership to the voter with the most complete log, if any voter has replied
  /// recently. In that case this replica steps down after an election timeout even without a reply,
  /// because its request to the voter may still be in flight.
  void transferLeadership();

  /// Returns the pending work and clears it. The owner calls `persisted` once the writes are
  /// durable.
  RaftReady takeReady();
  /// Reports that all writes of the work returned by `takeReady` are durable.
  void persisted();

  /// Installs a snapshot of the state machine at `index`, which must have been applied, and
  /// compacts the log.
  void compact(uint64_t index, std::string state);

  uint64_t id() const { return id_; }
  uint64_t term() const { return hard_state_.term(); }
  RaftRole role() const { return role_; }
  bool isLeader() const { return role_ == RaftRole::Leader; }
  /// ID of the leader of this term; zero: unknown.
  uint64_t leader() const { return leader_; }
  const v1::RaftHardState& hardState() const { return hard_state_; }
  uint64_t commitIndex() const { return commit_index_; }
  const RaftLog& log() const { return log_; }
  v1::RaftMembership membership() const { return membership_; }
  /// Index up to which a member's log is known to match this one; valid on the leader only.
  uint64_t matchIndex(uint64_t member) const;

  /// Ticks since the last reply of a member; valid on the leader only, zero for unknown members.
  uint64_t ticksSinceReply(uint64_t member) const;

  /// @return whether a majority has answered a heartbeat that was sent less than an election
  /// timeout ago. With `withhold_votes_after_restart`, no other replica can then have become
  /// leader.
  bool hasLeaderLease() const;

  /// @return whether the leader has committed an entry of its own term.
  bool committedInTerm() const;

private:
  static constexpr uint32_t kMaxTimeoutDoublings = 8;

  /// Replication state of another member, kept by the leader.
  struct Progress {
    uint64_t match = 0;
    uint64_t next = 1;
    /// Tick of the last reply; used by check-quorum.
    uint64_t last_reply_tick = 0;
    /// Highest heartbeat round that the member has answered.
    uint64_t round = 0;
    /// Tick at which a snapshot was last sent; zero: no snapshot is in flight.
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
  /// @return the index up to which the log may match the leader's, after an append at `index` did
  /// not fit.
  uint64_t conflictHint(uint64_t index) const;
  static bool contradictsLog(const v1::RaftMessage& message);
  void advanceCommit();
  void commitTo(uint64_t index);
  void startHeartbeatRound();
  void confirmReads();
  void failReads();
  /// @return the newest heartbeat round that a majority has answered.
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
  /// Whether this replica may have voted or had contact with a leader before it started.
  const bool restarted_;
  Random& random_;

  v1::RaftHardState hard_state_;
  RaftLog log_;
  /// Newest membership in the log; in force as soon as it is appended.
  v1::RaftMembership membership_;
  RaftRole role_ = RaftRole::Follower;
  uint64_t leader_ = 0;
  uint64_t commit_index_ = 0;
  /// Index of the last entry that `takeReady` returned as committed.
  uint64_t delivered_index_ = 0;
  /// Index of the last entry that is durable on this replica.
  uint64_t durable_index_ = 0;
  /// Index of the last entry that `takeReady` returned for writing.
  uint64_t submitted_index_ = 0;

  /// Current time in ticks since the start.
  uint64_t now_ = 0;
  /// Tick of the last message from a leader; zero: none since the start.
  uint64_t last_leader_tick_ = 0;
  uint64_t election_deadline_ = 0;
  /// Number of elections that this replica has started, up to kMaxTimeoutDoublings. It determines
  /// the first election timeouts.
  uint32_t elections_since_start_ = 0;
  uint64_t heartbeat_due_ = 0;
  uint64_t check_quorum_due_ = 0;
  uint64_t transfer_target_ = 0;
  uint64_t transfer_deadline_ = 0;

  /// Leader: replication state of each other member.
  std::map<uint64_t, Progress> progress_;
  /// Candidate and pre-candidate: whether each member granted its vote.
  std::map<uint64_t, bool> votes_;

  /// Number of the latest heartbeat round.
  uint64_t round_ = 0;
  /// Leader: tick at which each round was sent that a majority has not answered yet.
  std::map<uint64_t, uint64_t> round_ticks_;
  /// Leader: tick at which the newest round that a majority answered was sent; zero: none.
  uint64_t last_quorum_tick_ = 0;
  std::vector<PendingRead> pending_reads_;
  /// Leader: index of the first entry of its term.
  uint64_t term_start_index_ = 0;

  RaftReady ready_;
  bool hard_state_changed_ = false;
};

} // namespace workshatch::raft

/// @file
/// Replication of a RaftNode: appends, snapshots, the commit index and confirmation of reads.
#include <algorithm>
#include <utility>

#include "core/check.h"
#include "core/raft/raft_node.h"

namespace workshatch::raft {

namespace {

/// Number of election timeouts after which an unanswered snapshot is sent again.
constexpr uint64_t kSnapshotRetryElections = 4;

} // namespace

void RaftNode::appendAsLeader(v1::RaftEntry entry) {
  entry.set_index(log_.lastIndex() + 1);
  entry.set_term(term());
  log_.append(std::move(entry));
}

void RaftNode::broadcastAppend() {
  for (const auto& [peer, progress] : progress_) {
    sendAppend(peer, false);
  }
}

void RaftNode::startHeartbeatRound() {
  heartbeat_due_ = now_ + options_.heartbeat_ticks;
  ++round_;
  round_ticks_[round_] = now_;
  for (const auto& [peer, progress] : progress_) {
    // Entries in flight are not sent again. A follower that lacks them rejects this heartbeat,
    // which refers to the last of them.
    sendAppend(peer, true);
  }
  confirmReads();
}

void RaftNode::sendAppend(uint64_t peer, bool heartbeat) {
  Progress& progress = progress_[peer];
  if (progress.next <= log_.baseIndex()) {
    sendSnapshot(peer, progress);
    return;
  }
  const uint64_t previous = progress.next - 1;
  std::vector<v1::RaftEntry> entries =
      log_.slice(progress.next, log_.lastIndex(), options_.max_append_bytes);
  if (entries.empty() && !heartbeat) {
    return;
  }
  v1::RaftMessage message;
  message.set_type(v1::RAFT_APPEND);
  message.set_to(peer);
  message.set_log_index(previous);
  message.set_log_term(log_.termAt(previous));
  message.set_commit(commit_index_);
  message.set_round(round_);
  progress.next += entries.size();
  for (v1::RaftEntry& entry : entries) {
    *message.add_entries() = std::move(entry);
  }
  send(std::move(message));
}

void RaftNode::sendSnapshot(uint64_t peer, Progress& progress) {
  const uint64_t retry = options_.election_ticks * kSnapshotRetryElections;
  const bool outstanding = progress.snapshot_tick != 0 && now_ - progress.snapshot_tick < retry;
  v1::RaftMessage message;
  message.set_to(peer);
  message.set_commit(commit_index_);
  message.set_round(round_);
  if (outstanding) {
    // A heartbeat at the snapshot's index keeps the follower from starting an election while the
    // snapshot is in flight.
    message.set_type(v1::RAFT_APPEND);
    message.set_log_index(log_.snapshot().index());
    message.set_log_term(log_.snapshot().term());
  } else {
    message.set_type(v1::RAFT_INSTALL_SNAPSHOT);
    *message.mutable_snapshot() = log_.snapshot();
    progress.snapshot_tick = std::max<uint64_t>(now_, 1);
  }
  send(std::move(message));
}

/// Whether the entries of an append do not follow the entry that it refers to. A reply that claims
/// more than the leader's log is none of these: it shows that committed entries are missing here,
/// and a leader that went on would replace them.
bool RaftNode::contradictsLog(const v1::RaftMessage& message) {
  if (message.type() != v1::RAFT_APPEND) {
    return false;
  }
  uint64_t expected_index = message.log_index();
  for (const v1::RaftEntry& entry : message.entries()) {
    if (entry.index() != ++expected_index) {
      return true;
    }
  }
  return false;
}

void RaftNode::handleAppend(const v1::RaftMessage& message) {
  v1::RaftMessage reply;
  reply.set_type(v1::RAFT_APPEND_REPLY);
  reply.set_to(message.from());
  reply.set_round(message.round());
  if (message.term() < term()) {
    reply.set_reject(true);
    send(std::move(reply));
    return;
  }
  if (role_ != RaftRole::Follower) {
    becomeFollower(message.term(), message.from());
  }
  leader_ = message.from();
  last_leader_tick_ = std::max<uint64_t>(now_, 1);
  resetElectionTimer();

  if (message.log_index() < commit_index_) {
    // Committed entries always match the leader's.
    reply.set_match_index(commit_index_);
  } else if (log_.contains(message.log_index()) &&
             log_.termAt(message.log_index()) == message.log_term()) {
    appendFromLeader(message);
    const uint64_t last_new = message.log_index() + static_cast<uint64_t>(message.entries_size());
    commitTo(std::min(message.commit(), last_new));
    reply.set_match_index(last_new);
  } else {
    reply.set_reject(true);
    reply.set_match_index(conflictHint(message.log_index()));
  }
  send(std::move(reply));
}

void RaftNode::appendFromLeader(const v1::RaftMessage& message) {
  bool membership_changed = false;
  for (const v1::RaftEntry& entry : message.entries()) {
    if (log_.contains(entry.index())) {
      if (log_.termAt(entry.index()) == entry.term()) {
        continue;
      }
      WORKSHATCH_CHECK(entry.index() > commit_index_, "a committed entry would be replaced");
      log_.truncateFrom(entry.index());
      if (entry.index() <= submitted_index_) {
        const uint64_t previous = ready_.truncate_from;
        ready_.truncate_from = previous == 0 ? entry.index() : std::min(previous, entry.index());
      }
      submitted_index_ = std::min(submitted_index_, entry.index() - 1);
      durable_index_ = std::min(durable_index_, entry.index() - 1);
      membership_changed = true;
    }
    log_.append(entry);
    membership_changed = membership_changed || entry.has_membership();
  }
  if (membership_changed) {
    refreshMembership();
  }
}

uint64_t RaftNode::conflictHint(uint64_t index) const {
  if (index > log_.lastIndex()) {
    return log_.lastIndex();
  }
  if (!log_.contains(index)) {
    return commit_index_;
  }
  // Skips all entries of the conflicting term, but no committed ones.
  const uint64_t conflict_term = log_.termAt(index);
  uint64_t hint = index;
  while (hint > commit_index_ && hint > log_.baseIndex() && log_.termAt(hint) == conflict_term) {
    --hint;
  }
  return hint;
}

void RaftNode::handleAppendReply(const v1::RaftMessage& message) {
  if (role_ != RaftRole::Leader || message.term() != term()) {
    return;
  }
  const auto found = progress_.find(message.from());
  if (found == progress_.end()) {
    return;
  }
  Progress& progress = found->second;
  progress.last_reply_tick = now_;
  progress.round = std::max(progress.round, message.round());
  confirmReads();
  if (message.reject()) {
    progress.next =
        std::max(progress.match + 1, std::min(progress.next, message.match_index() + 1));
    sendAppend(message.from(), false);
    return;
  }
  if (message.match_index() > progress.match) {
    progress.match = message.match_index();
    progress.next = std::max(progress.next, progress.match + 1);
    progress.snapshot_tick = 0;
    advanceCommit();
  }
  if (role_ != RaftRole::Leader) {
    // The commit removed this replica from the group and invalidated `progress`.
    return;
  }
  if (transfer_target_ == message.from() && progress.match == log_.lastIndex()) {
    v1::RaftMessage timeout;
    timeout.set_type(v1::RAFT_TIMEOUT_NOW);
    timeout.set_to(message.from());
    send(std::move(timeout));
  }
  if (progress.next <= log_.lastIndex()) {
    sendAppend(message.from(), false);
  }
}

void RaftNode::handleSnapshot(const v1::RaftMessage& message) {
  v1::RaftMessage reply;
  reply.set_type(v1::RAFT_APPEND_REPLY);
  reply.set_to(message.from());
  reply.set_round(message.round());
  if (message.term() < term()) {
    reply.set_reject(true);
    send(std::move(reply));
    return;
  }
  if (role_ != RaftRole::Follower) {
    becomeFollower(message.term(), message.from());
  }
  leader_ = message.from();
  last_leader_tick_ = std::max<uint64_t>(now_, 1);
  resetElectionTimer();
  const v1::RaftSnapshot& snapshot = message.snapshot();
  const bool has_entry =
      log_.contains(snapshot.index()) && log_.termAt(snapshot.index()) == snapshot.term();
  if (snapshot.index() > commit_index_ && has_entry) {
    // The log is kept, because entries after the snapshot may have been acknowledged (rule 6 of
    // InstallSnapshot in the paper).
    commitTo(snapshot.index());
  } else if (snapshot.index() > commit_index_) {
    log_.restore(snapshot);
    ready_.snapshot = snapshot;
    ready_.truncate_from = 0;
    ready_.committed.clear();
    commit_index_ = snapshot.index();
    delivered_index_ = commit_index_;
    durable_index_ = commit_index_;
    submitted_index_ = commit_index_;
    refreshMembership();
  }
  reply.set_match_index(commit_index_);
  send(std::move(reply));
}

void RaftNode::advanceCommit() {
  std::vector<uint64_t> matches;
  for (const v1::RaftMember& member : membership_.members()) {
    if (!member.learner()) {
      matches.push_back(matchIndex(member.id()));
    }
  }
  if (matches.empty()) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const uint64_t agreed = matches[quorum() - 1];
  // Only entries of the leader's own term are committed by counting replicas.
  if (agreed <= commit_index_ || log_.termAt(agreed) != term()) {
    return;
  }
  commitTo(agreed);
  for (const auto& [peer, progress] : progress_) {
    // An empty append carries the new commit index without waiting for the next heartbeat.
    sendAppend(peer, true);
  }
  if (!isVoterOf(log_.membershipAt(commit_index_), id_)) {
    becomeFollower(term(), 0);
  }
}

void RaftNode::commitTo(uint64_t index) { commit_index_ = std::max(commit_index_, index); }

uint64_t RaftNode::roundOf(uint64_t member) const {
  if (member == id_) {
    return round_;
  }
  const auto found = progress_.find(member);
  return found == progress_.end() ? 0 : found->second.round;
}

uint64_t RaftNode::quorumRound() const {
  std::vector<uint64_t> rounds;
  for (const v1::RaftMember& member : membership_.members()) {
    if (!member.learner()) {
      rounds.push_back(roundOf(member.id()));
    }
  }
  if (rounds.empty()) {
    return 0;
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  return rounds[quorum() - 1];
}

void RaftNode::confirmReads() {
  if (role_ != RaftRole::Leader) {
    return;
  }
  const uint64_t answered = quorumRound();
  auto sent = round_ticks_.upper_bound(answered);
  if (sent != round_ticks_.begin()) {
    last_quorum_tick_ = std::max(last_quorum_tick_, std::prev(sent)->second);
    round_ticks_.erase(round_ticks_.begin(), sent);
  }
  const auto confirmed = [&](const PendingRead& read) { return read.round <= answered; };
  for (const PendingRead& read : pending_reads_) {
    if (confirmed(read)) {
      ready_.reads.push_back(
          ReadConfirmation{.context = read.context, .index = read.index, .confirmed = true});
    }
  }
  std::erase_if(pending_reads_, confirmed);
}

void RaftNode::failReads() {
  for (const PendingRead& read : pending_reads_) {
    ready_.reads.push_back(
        ReadConfirmation{.context = read.context, .index = 0, .confirmed = false});
  }
  pending_reads_.clear();
}

} // namespace workshatch::raft

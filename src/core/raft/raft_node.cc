#include "core/raft/raft_node.h"

#include <algorithm>
#include <utility>

#include "core/check.h"

namespace workshatch::raft {

RaftNode::RaftNode(uint64_t id, RaftOptions options, Random& random, RaftRecovery recovery)
    : id_(id), options_(options), restarted_(recovery.hard_state.term() != 0), random_(random),
      hard_state_(std::move(recovery.hard_state)), log_(std::move(recovery.log)) {
  commit_index_ = log_.snapshot().index();
  delivered_index_ = commit_index_;
  durable_index_ = log_.lastIndex();
  submitted_index_ = durable_index_;
  refreshMembership();
  resetElectionTimer();
}

void RaftNode::tick() {
  ++now_;
  if (role_ == RaftRole::Leader) {
    if (now_ >= check_quorum_due_) {
      checkQuorum();
    }
    if (transfer_target_ != 0 && now_ >= transfer_deadline_) {
      becomeFollower(term(), 0);
      return;
    }
    if (role_ == RaftRole::Leader && now_ >= heartbeat_due_) {
      startHeartbeatRound();
    }
    return;
  }
  if (now_ < election_deadline_) {
    return;
  }
  if (isVoter(id_)) {
    becomePreCandidate();
  } else {
    // A learner starts no election; it only forgets a leader that may be gone.
    leader_ = 0;
  }
}

bool RaftNode::step(const v1::RaftMessage& message) {
  if (message.to() != id_) {
    return true;
  }
  if (contradictsLog(message)) {
    return false;
  }
  const bool pre_vote = message.type() == v1::RAFT_PRE_VOTE ||
                        (message.type() == v1::RAFT_PRE_VOTE_REPLY && !message.reject());
  const bool vote_during_lease =
      message.type() == v1::RAFT_VOTE && !message.leader_transfer() && hasRecentLeaderContact();
  if (message.term() > term() && !pre_vote && !vote_during_lease) {
    const bool from_leader =
        message.type() == v1::RAFT_APPEND || message.type() == v1::RAFT_INSTALL_SNAPSHOT;
    becomeFollower(message.term(), from_leader ? message.from() : 0);
  }
  switch (message.type()) {
  case v1::RAFT_PRE_VOTE:
  case v1::RAFT_VOTE:
    handleVoteRequest(message);
    break;
  case v1::RAFT_PRE_VOTE_REPLY:
  case v1::RAFT_VOTE_REPLY:
    handleVoteReply(message);
    break;
  case v1::RAFT_APPEND:
    handleAppend(message);
    break;
  case v1::RAFT_APPEND_REPLY:
    handleAppendReply(message);
    break;
  case v1::RAFT_INSTALL_SNAPSHOT:
    handleSnapshot(message);
    break;
  case v1::RAFT_TIMEOUT_NOW:
    handleTimeoutNow(message);
    break;
  default:
    break;
  }
  return true;
}

std::optional<uint64_t> RaftNode::propose(std::string command) {
  if (role_ != RaftRole::Leader || transfer_target_ != 0) {
    return std::nullopt;
  }
  v1::RaftEntry entry;
  entry.set_command(std::move(command));
  appendAsLeader(std::move(entry));
  broadcastAppend();
  return log_.lastIndex();
}

std::optional<uint64_t> RaftNode::proposeMembership(const v1::RaftMembership& membership) {
  const bool may_change = role_ == RaftRole::Leader && transfer_target_ == 0 && committedInTerm() &&
                          membershipCommitted();
  if (!may_change) {
    return std::nullopt;
  }
  v1::RaftEntry entry;
  *entry.mutable_membership() = membership;
  appendAsLeader(std::move(entry));
  refreshMembership();
  broadcastAppend();
  return log_.lastIndex();
}

bool RaftNode::membershipCommitted() const {
  for (uint64_t index = commit_index_ + 1; index <= log_.lastIndex(); ++index) {
    if (log_.at(index).has_membership()) {
      return false;
    }
  }
  return true;
}

void RaftNode::requestRead(uint64_t context) {
  if (role_ != RaftRole::Leader || !committedInTerm()) {
    ready_.reads.push_back(ReadConfirmation{.context = context, .index = 0, .confirmed = false});
    return;
  }
  // The read is confirmed by a heartbeat round that starts after the request, the next one at the
  // earliest.
  pending_reads_.push_back(
      PendingRead{.context = context, .index = commit_index_, .round = round_ + 1});
  if (voterCount() == 1 || pending_reads_.size() == 1) {
    startHeartbeatRound();
  }
}

void RaftNode::transferLeadership() {
  if (role_ != RaftRole::Leader || transfer_target_ != 0) {
    return;
  }
  uint64_t best = 0;
  for (const auto& [member, progress] : progress_) {
    const bool candidate =
        isVoter(member) && now_ - progress.last_reply_tick <= options_.election_ticks;
    if (candidate && (best == 0 || progress.match > progress_[best].match)) {
      best = member;
    }
  }
  if (best == 0) {
    return;
  }
  transfer_target_ = best;
  transfer_deadline_ = now_ + options_.election_ticks;
  sendAppend(best, false);
  if (progress_[best].match == log_.lastIndex()) {
    v1::RaftMessage message;
    message.set_type(v1::RAFT_TIMEOUT_NOW);
    message.set_to(best);
    message.set_term(term());
    send(std::move(message));
  }
}

RaftReady RaftNode::takeReady() {
  if (hard_state_changed_) {
    ready_.hard_state = hard_state_;
    hard_state_changed_ = false;
  }
  for (uint64_t index = submitted_index_ + 1; index <= log_.lastIndex(); ++index) {
    ready_.entries.push_back(log_.at(index));
  }
  submitted_index_ = log_.lastIndex();
  for (; delivered_index_ < commit_index_; ++delivered_index_) {
    ready_.committed.push_back(log_.at(delivered_index_ + 1));
  }
  return std::exchange(ready_, RaftReady{});
}

void RaftNode::persisted() {
  durable_index_ = std::min(submitted_index_, log_.lastIndex());
  if (role_ == RaftRole::Leader) {
    advanceCommit();
  }
}

void RaftNode::compact(uint64_t index, std::string state) {
  WORKSHATCH_CHECK(index <= delivered_index_, "snapshot above the applied index");
  v1::RaftSnapshot snapshot;
  snapshot.set_index(index);
  snapshot.set_term(log_.termAt(index));
  *snapshot.mutable_membership() = log_.membershipAt(index);
  snapshot.set_state(std::move(state));
  log_.compact(std::move(snapshot), options_.trailing_entries);
}

uint64_t RaftNode::matchIndex(uint64_t member) const {
  if (member == id_) {
    return durable_index_;
  }
  const auto found = progress_.find(member);
  return found == progress_.end() ? 0 : found->second.match;
}

uint64_t RaftNode::ticksSinceReply(uint64_t member) const {
  const auto found = progress_.find(member);
  return found == progress_.end() ? 0 : now_ - found->second.last_reply_tick;
}

void RaftNode::send(v1::RaftMessage message) {
  message.set_from(id_);
  if (message.term() == 0) {
    message.set_term(term());
  }
  ready_.messages.push_back(std::move(message));
}

void RaftNode::refreshMembership() {
  membership_ = log_.latestMembership();
  if (role_ != RaftRole::Leader) {
    return;
  }
  std::map<uint64_t, Progress> kept;
  for (const v1::RaftMember& member : membership_.members()) {
    if (member.id() == id_) {
      continue;
    }
    const auto found = progress_.find(member.id());
    if (found != progress_.end()) {
      kept.insert(*found);
    } else {
      Progress progress;
      progress.next = log_.lastIndex() + 1;
      progress.last_reply_tick = now_;
      kept.emplace(member.id(), progress);
    }
  }
  progress_ = std::move(kept);
}

bool isVoterOf(const v1::RaftMembership& membership, uint64_t member) {
  return std::any_of(membership.members().begin(), membership.members().end(),
                     [member](const v1::RaftMember& candidate) {
                       return candidate.id() == member && !candidate.learner();
                     });
}

size_t RaftNode::voterCount() const {
  return static_cast<size_t>(
      std::count_if(membership_.members().begin(), membership_.members().end(),
                    [](const v1::RaftMember& member) { return !member.learner(); }));
}

} // namespace workshatch::raft

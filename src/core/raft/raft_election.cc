/// @file
/// Elections of a RaftNode: pre-vote, vote, check-quorum and leadership transfer.
#include <algorithm>
#include <utility>

#include "core/raft/raft_node.h"

namespace workshatch::raft {

void RaftNode::becomeFollower(uint64_t new_term, uint64_t leader) {
  if (new_term > term()) {
    hard_state_.set_term(new_term);
    hard_state_.set_voted_for(0);
    hard_state_changed_ = true;
  }
  if (role_ == RaftRole::Leader) {
    failReads();
  }
  role_ = RaftRole::Follower;
  leader_ = leader;
  transfer_target_ = 0;
  progress_.clear();
  round_ticks_.clear();
  resetElectionTimer();
}

void RaftNode::becomePreCandidate() {
  role_ = RaftRole::PreCandidate;
  elections_since_start_ = std::min(elections_since_start_ + 1, kMaxTimeoutDoublings);
  leader_ = 0;
  resetElectionTimer();
  campaign(v1::RAFT_PRE_VOTE, term() + 1, false);
  if (wonElection()) {
    becomeCandidate(false);
  }
}

void RaftNode::becomeCandidate(bool transfer) {
  role_ = RaftRole::Candidate;
  leader_ = 0;
  hard_state_.set_term(term() + 1);
  hard_state_.set_voted_for(id_);
  hard_state_changed_ = true;
  resetElectionTimer();
  campaign(v1::RAFT_VOTE, term(), transfer);
  if (wonElection()) {
    becomeLeader();
  }
}

void RaftNode::becomeLeader() {
  role_ = RaftRole::Leader;
  leader_ = id_;
  transfer_target_ = 0;
  progress_.clear();
  round_ticks_.clear();
  last_quorum_tick_ = 0;
  check_quorum_due_ = now_ + options_.election_ticks;
  refreshMembership();
  appendAsLeader(v1::RaftEntry{});
  term_start_index_ = log_.lastIndex();
  startHeartbeatRound();
}

void RaftNode::campaign(v1::RaftMessageType type, uint64_t campaign_term, bool transfer) {
  votes_.clear();
  votes_[id_] = true;
  for (const v1::RaftMember& member : membership_.members()) {
    if (member.id() == id_ || member.learner()) {
      continue;
    }
    v1::RaftMessage message;
    message.set_type(type);
    message.set_to(member.id());
    message.set_term(campaign_term);
    message.set_log_index(log_.lastIndex());
    message.set_log_term(log_.lastTerm());
    message.set_leader_transfer(transfer);
    send(std::move(message));
  }
}

void RaftNode::handleVoteRequest(const v1::RaftMessage& message) {
  const bool pre_vote = message.type() == v1::RAFT_PRE_VOTE;
  const bool up_to_date =
      message.log_term() > log_.lastTerm() ||
      (message.log_term() == log_.lastTerm() && message.log_index() >= log_.lastIndex());
  const bool leader_alive = hasRecentLeaderContact() && !message.leader_transfer();
  const bool may_vote =
      pre_vote ? message.term() > term()
               : message.term() == term() &&
                     (hard_state_.voted_for() == 0 || hard_state_.voted_for() == message.from());
  const bool granted = up_to_date && !leader_alive && may_vote;
  if (granted && !pre_vote) {
    hard_state_.set_voted_for(message.from());
    hard_state_changed_ = true;
    resetElectionTimer();
  }
  v1::RaftMessage reply;
  reply.set_type(pre_vote ? v1::RAFT_PRE_VOTE_REPLY : v1::RAFT_VOTE_REPLY);
  reply.set_to(message.from());
  // A granted pre-vote carries the requested term, which the candidate has not entered yet.
  reply.set_term(granted ? message.term() : term());
  reply.set_reject(!granted);
  if (reply.term() != 0) {
    send(std::move(reply));
  }
}

void RaftNode::handleVoteReply(const v1::RaftMessage& message) {
  const bool pre_vote = message.type() == v1::RAFT_PRE_VOTE_REPLY;
  const bool expected = pre_vote ? role_ == RaftRole::PreCandidate &&
                                       (message.reject() || message.term() == term() + 1)
                                 : role_ == RaftRole::Candidate && message.term() == term();
  if (!expected || !isVoter(message.from())) {
    return;
  }
  votes_[message.from()] = !message.reject();
  if (!wonElection()) {
    return;
  }
  if (pre_vote) {
    becomeCandidate(false);
  } else {
    becomeLeader();
  }
}

void RaftNode::handleTimeoutNow(const v1::RaftMessage& message) {
  if (message.term() == term() && role_ == RaftRole::Follower && isVoter(id_)) {
    becomeCandidate(true);
  }
}

bool RaftNode::wonElection() const {
  const auto granted = std::count_if(votes_.begin(), votes_.end(), [this](const auto& vote) {
    return vote.second && isVoter(vote.first);
  });
  return static_cast<size_t>(granted) >= quorum();
}

bool RaftNode::hasRecentLeaderContact() const {
  if (role_ == RaftRole::Leader) {
    return hasLeaderLease();
  }
  if (options_.withhold_votes_after_restart && restarted_ && now_ < options_.election_ticks) {
    // Whether this replica had contact with a leader before its restart is unknown. A leader may
    // still rely on that contact for its lease.
    return true;
  }
  // Zero means no contact; a message that arrives before the first tick is recorded as tick 1.
  return leader_ != 0 && last_leader_tick_ != 0 &&
         now_ < last_leader_tick_ + options_.election_ticks;
}

void RaftNode::resetElectionTimer() {
  const uint64_t first_ticks = uint64_t{options_.first_election_ticks} << elections_since_start_;
  if (last_leader_tick_ == 0 && first_ticks != 0 && first_ticks < options_.election_ticks) {
    election_deadline_ = now_ + 1 + random_.below(static_cast<uint32_t>(first_ticks));
    return;
  }
  election_deadline_ = now_ + options_.election_ticks + random_.below(options_.election_ticks);
}

void RaftNode::checkQuorum() {
  check_quorum_due_ = now_ + options_.election_ticks;
  size_t active = isVoter(id_) ? 1 : 0;
  for (const auto& [member, progress] : progress_) {
    if (isVoter(member) && now_ - progress.last_reply_tick <= options_.election_ticks) {
      ++active;
    }
  }
  if (active < quorum()) {
    becomeFollower(term(), 0);
  }
}

bool RaftNode::hasLeaderLease() const {
  if (role_ != RaftRole::Leader || transfer_target_ != 0) {
    return false;
  }
  if (voterCount() == 1) {
    return true;
  }
  // The lease ends one tick before the followers' timeout, to allow for the difference between two
  // tick counters.
  return last_quorum_tick_ != 0 && now_ - last_quorum_tick_ + 1 < options_.election_ticks;
}

bool RaftNode::committedInTerm() const {
  return role_ == RaftRole::Leader && commit_index_ >= term_start_index_;
}

} // namespace workshatch::raft

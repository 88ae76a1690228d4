/// @file
/// How a voter that is being stopped hands its vote over to a learner, so that its end takes no
/// vote from the group. The leader makes the successor a voter first and removes the leaving voter
/// second: in between, a majority is three of four, which the end of one voter does not break.
///
/// Load: one small request from each stopping voter every 50 ms, for as long as it waits. Limit:
/// two membership changes for each stop, one step at a time. Failure cases: without a learner that
/// answered within the time limit of silent voters, the voter is told so and keeps its vote; with
/// one that is late, or if the leader does not answer or is not known, as when all machines stop at
/// once, it waits until the time limit of its caller; if it crashes between the two changes, it is
/// removed as a silent voter. An overloaded group may not commit both changes in time; the vote is
/// then kept, as in a crash.
#include <algorithm>

#include "adapters/logging/line_log.h"
#include "daemon/group/group_replica.h"

namespace workshatch::daemon {

namespace {

/// Interval at which a leaving replica repeats its request, until it has an answer.
constexpr int64_t kLeaveRequestPeriodMs = 50;
/// A request that is not repeated counts no more after this time. A replica that was started again
/// must not lose its vote for a request from before.
constexpr int64_t kLeaveRequestValidMs = 500;

} // namespace

void GroupReplica::leave() {
  leaving_ = true;
  handOverLeadership();
}

bool GroupReplica::hasVote() const {
  const bool known_removed = !votes() && node_->membershipCommitted();
  return !leave_reply_.left() && !known_removed;
}

bool GroupReplica::mayEnd() const {
  const bool nobody_to_ask = leaderAddress().empty() && !raft::hasLearner(node_->membership());
  return !hasVote() || leave_reply_.no_successor() || nobody_to_ask;
}

void GroupReplica::requestLeave() {
  const int64_t now = clock_.monotonicMs();
  if (now < leave_request_due_ms_ || mayEnd()) {
    return;
  }
  leave_request_due_ms_ = now + kLeaveRequestPeriodMs;
  const std::string leader = leaderAddress();
  if (leader.empty()) {
    // Another voter that is being stopped may have handed the leadership to this one.
    if (departures_.empty()) {
      node_->transferLeadership();
    }
    return;
  }
  v1::LeaveRequest request;
  request.set_id(id_);
  request.set_address(options_.own_address);
  send_leave_(leader, std::move(request));
}

void GroupReplica::leaveReceived(const v1::LeaveRequest& request) {
  if (unwritten_ || !leads()) {
    return;
  }
  const bool voter = isVoter(request.id());
  const bool no_successor = voter && voterCount() <= options_.voters && !hasSuccessor();
  if (voter && !no_successor) {
    departures_[request.id()] = clock_.monotonicMs() + kLeaveRequestValidMs;
  }
  v1::LeaveReply reply;
  reply.set_id(request.id());
  reply.set_left(!voter && node_->membershipCommitted());
  reply.set_no_successor(no_successor);
  send_leave_reply_(request.address(), std::move(reply));
}

void GroupReplica::leaveReplyReceived(const v1::LeaveReply& reply) {
  // Replies to earlier requests may arrive after the one that says that the vote is gone.
  if (leaving_ && reply.id() == id_ && !leave_reply_.left()) {
    leave_reply_ = reply;
  }
}

/// @return whether a learner may become a voter: it replied, was added or was met by this leader
/// within the time after which a voter counts as silent. One that is late for a moment still
/// counts, since the answer "no successor" ends the wait of the leaving voter.
bool GroupReplica::hasSuccessor() const {
  const v1::RaftMembership membership = node_->membership();
  return std::any_of(membership.members().begin(), membership.members().end(),
                     [this](const v1::RaftMember& member) {
                       return member.learner() &&
                              silentForMs(member.id()) < options_.silent_voter_limit_ms;
                     });
}

/// Takes the next step for a voter that is being stopped: makes a learner a voter, then removes the
/// leaving one.
/// @return whether a membership change was proposed.
bool GroupReplica::advanceDeparture(uint64_t voter) {
  v1::RaftMembership membership = node_->membership();
  auto* members = membership.mutable_members();
  const auto leaving =
      std::find_if(members->begin(), members->end(), [&](const v1::RaftMember& member) {
        return member.id() == voter && !member.learner();
      });
  if (leaving == members->end()) {
    return false;
  }
  if (voterCount() > options_.voters) {
    const v1::RaftMember removed = *leaving;
    members->erase(leaving);
    return proposeStep("leaving_voter_removed", removed, membership);
  }
  const auto successor =
      std::find_if(members->begin(), members->end(), [&](const v1::RaftMember& member) {
        return member.learner() && hasCaughtUp(member.id());
      });
  if (successor == members->end()) {
    return false;
  }
  successor->set_learner(false);
  const v1::RaftMember promoted = *successor;
  return proposeStep("successor_added", promoted, membership);
}

} // namespace workshatch::daemon

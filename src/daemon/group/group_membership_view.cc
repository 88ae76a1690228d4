/// @file
/// What a replica tells of its place in the group, for log lines and metrics.
#include "adapters/logging/line_log.h"
#include "daemon/group/group_replica.h"

namespace workshatch::daemon {

namespace {

/// A voter without a reply for this time is reported as silent. Longer than an ordinary pause of a
/// process, shorter than the time after which a voter may be replaced.
constexpr int64_t kSilentReportMs = 1000;

} // namespace

Standing GroupReplica::standing() const {
  if (!isMember()) {
    return Standing::Outside;
  }
  return votes() ? Standing::Voter : Standing::Learner;
}

/// Logs when this replica joins or leaves the membership, or gets or loses its vote.
void GroupReplica::recordStanding() {
  const Standing now = standing();
  if (now == standing_) {
    return;
  }
  line_log::write("standing_changed", {{"id", id_},
                                       {"from", nameOf(standing_)},
                                       {"to", nameOf(now)},
                                       {"members", memberAddresses()},
                                       {"term", node_->term()},
                                       {"applied", applied_}});
  standing_ = now;
}

LeaderView GroupReplica::leaderView() const {
  LeaderView view;
  const v1::RaftMembership membership = node_->membership();
  for (const v1::RaftMember& member : membership.members()) {
    if (member.learner()) {
      view.learners_caught_up += hasCaughtUp(member.id()) ? 1 : 0;
      continue;
    }
    ++view.voters;
    view.answering += member.id() == id_ || answers(member.id()) ? 1 : 0;
    const int64_t silent_ms = member.id() == id_ ? 0 : voterSilentForMs(member.id());
    if (silent_ms >= kSilentReportMs) {
      view.silent.push_back(SilentVoter{.address = member.address(), .silent_ms = silent_ms});
    }
  }
  return view;
}

MembershipView GroupReplica::membershipView() const {
  MembershipView view;
  view.standing = standing();
  view.members = memberAddresses();
  view.leaderless_ms = leaderlessForMs();
  view.leads = isLeader();
  if (view.leads) {
    view.leader = leaderView();
  }
  return view;
}

} // namespace workshatch::daemon

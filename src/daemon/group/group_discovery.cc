/// @file
/// How a replica outside the group finds it, and how members make themselves found.
///
/// Load: outside the group, a join request to each candidate every 300 ms, or 100 ms after a new
/// one was learned; in it, one notice a second to each seed that is no member. Failure cases: the
/// seeds may be gone, hold no replica, or hold one that is outside the group too; a lost disk
/// leaves a replica that knows the seeds only. Whoever is asked therefore answers with what it
/// knows, and members tell the seeds unasked.
#include <algorithm>

#include "adapters/logging/line_log.h"
#include "daemon/group/group_replica.h"

namespace workshatch::daemon {

namespace {

/// Interval of the notices of members to processes outside the group; half the time for which a
/// leader counts as known.
constexpr int64_t kAnnouncementPeriodMs = relay::kLeaderKnownMs / 2;
/// Delay of the join requests after a new candidate was learned; the minimum interval between them.
constexpr int64_t kSeekDelayMs = 100;
/// Minimum interval of log lines about new candidates.
constexpr int64_t kContactsLogPeriodMs = 1000;

} // namespace

bool GroupReplica::isMember(uint64_t id) const {
  const v1::RaftMembership membership = node_->membership();
  return std::any_of(membership.members().begin(), membership.members().end(),
                     [id](const v1::RaftMember& member) { return member.id() == id; });
}

void GroupReplica::sendJoins() {
  v1::JoinRequest request;
  request.set_id(id_);
  request.set_address(options_.own_address);
  for (const std::string& target : directory_.candidates(clock_.monotonicMs())) {
    send_join_(target, request);
  }
}

void GroupReplica::joinReceived(const v1::JoinRequest& request) {
  if (isLeader()) {
    join_requests_[request.address()] = request;
    return;
  }
  if (request.forwarded()) {
    return;
  }
  const std::string leader = hintedLeaderAddress();
  if (!leader.empty()) {
    v1::JoinRequest forwarded = request;
    forwarded.set_forwarded(true);
    send_join_(leader, std::move(forwarded));
  }
  if (!isMember(request.id())) {
    send_notice_(request.address(), makeNotice());
  }
}

void GroupReplica::noticeReceived(const v1::MembersNotice& notice) {
  const bool learned = directory_.apply(notice, clock_.monotonicMs());
  if (notice.answer_wanted()) {
    send_notice_(notice.sender_address(), makeNotice());
  }
  if (learned) {
    seekGroupNow();
  }
}

void GroupReplica::contactsTold(const std::vector<std::string>& addresses) {
  if (!isMember() && directory_.addContacts(addresses, clock_.monotonicMs())) {
    seekGroupNow();
  }
}

void GroupReplica::seekGroupNow() {
  if (isMember() || undecided_) {
    return;
  }
  const int64_t now = clock_.monotonicMs();
  find_group_due_ms_ = std::min(find_group_due_ms_, now + kSeekDelayMs);
  if (now >= contacts_log_due_ms_) {
    contacts_log_due_ms_ = now + kContactsLogPeriodMs;
    line_log::write("group_contacts_learned", {{"leader", hintedLeaderAddress()},
                                               {"candidates", directory_.candidates(now)}});
  }
}

bool GroupReplica::speaksForGroup() const {
  const int64_t leaderless_ms = clock_.monotonicMs() - leader_last_known_ms_;
  return isMember() && !unwritten_ && leader_was_known_ && leaderless_ms <= kLeaderlessLimitMs;
}

/// @return whether the leader that this replica knows may be named to others. While disk writes
/// fail, its node is told nothing, and only what was heard lately counts.
bool GroupReplica::namesLeader() const {
  if (!unwritten_) {
    return knowsLeader();
  }
  return !heard_leader_.empty() &&
         clock_.monotonicMs() - leader_last_known_ms_ <= kLeaderlessLimitMs;
}

std::string GroupReplica::hintedLeaderAddress() const {
  return namesLeader() || speaksForGroup() ? leaderAddress()
                                           : directory_.leader(clock_.monotonicMs());
}

v1::MembersNotice GroupReplica::makeNotice() const {
  v1::MembersNotice notice = directory_.makeNotice(clock_.monotonicMs());
  if (isMember()) {
    const std::vector<std::string> members = memberAddresses();
    notice.mutable_members()->Assign(members.begin(), members.end());
  }
  notice.set_sender_is_member(speaksForGroup());
  if (namesLeader() || notice.sender_is_member()) {
    const int64_t age_ms = unwritten_ ? clock_.monotonicMs() - leader_last_known_ms_ : 0;
    notice.set_leader_address(isLeader() ? options_.own_address : leaderAddress());
    notice.set_leader_age_ms(static_cast<uint32_t>(age_ms));
  }
  return notice;
}

/// Tells the seeds that are no members where the group is: machines that hold no replica, and
/// replicas that lost their disk. Relays and replicas may have been told to ask just these.
void GroupReplica::announceMembers() {
  const int64_t now = clock_.monotonicMs();
  if (now < announcement_due_ms_ || !isMember() || !knowsLeader()) {
    return;
  }
  announcement_due_ms_ = now + kAnnouncementPeriodMs;
  const std::vector<std::string> members = memberAddresses();
  directory_.setMembers(members);
  for (const std::string& seed : options_.seeds) {
    const bool outside = std::find(members.begin(), members.end(), seed) == members.end();
    if (outside && seed != options_.own_address) {
      send_notice_(seed, makeNotice());
    }
  }
}

} // namespace workshatch::daemon

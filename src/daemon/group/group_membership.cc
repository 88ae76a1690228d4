/// @file
/// How a replica finds, forms or joins its group, and how the leader changes the membership.
#include <algorithm>
#include <set>
#include <utility>

#include "adapters/logging/line_log.h"
#include "daemon/group/founder_identity.h"
#include "daemon/group/group_replica.h"

namespace workshatch::daemon {

namespace {

constexpr int64_t kFindGroupPeriodMs = 300;
constexpr int64_t kMembershipPeriodMs = 200;
/// Interval at which voters tell each other that they are there, while the group has a learner.
constexpr int64_t kPresencePeriodMs = VoterPresence::kMaxPauseMs / 2;
/// A learner that lags behind the commit index by at most this many entries counts as caught up.
constexpr uint64_t kCaughtUpEntries = 4;
/// Index and term of the snapshot that every replica of a new group starts from.
constexpr uint64_t kFirstIndex = 1;
constexpr uint64_t kFirstTerm = 1;
/// Time after its start from which a founder forms the group with a majority of the seeds.
/// Ordinarily all have started by then, so that none has to join later.
constexpr int64_t kFoundersWaitMs = 1500;

} // namespace

bool GroupReplica::isSeed(const std::string& address) const {
  return std::find(options_.seeds.begin(), options_.seeds.end(), address) != options_.seeds.end();
}

void GroupReplica::findGroup() {
  const int64_t now = clock_.monotonicMs();
  const bool leaderless = now - leader_last_known_ms_ > kLeaderlessLimitMs;
  if (now < find_group_due_ms_ || (votes() && !leaderless)) {
    return;
  }
  find_group_due_ms_ = now + kFindGroupPeriodMs;
  if (undecided_) {
    sendHellos();
    formGroupIfDue();
    return;
  }
  sendJoins();
}

bool GroupReplica::grouped() const {
  return group_exists_ || node_->membership().members_size() != 0;
}

v1::ReplicaHello GroupReplica::makeHello() const {
  v1::ReplicaHello hello;
  hello.set_id(id_);
  hello.set_address(options_.own_address);
  hello.set_grouped(grouped());
  hello.set_founder(undecided_);
  hello.set_established(state_.configuration().version() != 0 ||
                        state_.evacuations().version() != 0);
  const bool member = node_->membership().members_size() != 0;
  hello.set_members_digest(membersDigest(member ? memberAddresses() : options_.seeds));
  return hello;
}

void GroupReplica::sendHellos() {
  v1::ReplicaHello hello = makeHello();
  hello.set_answer_wanted(true);
  for (const std::string& seed : options_.seeds) {
    if (seed != options_.own_address) {
      send_hello_(seed, hello);
    }
  }
}

void GroupReplica::helloReceived(const v1::ReplicaHello& hello) {
  presence_.heard(hello.id(), clock_.monotonicMs());
  // A founder whose identity is not durable yet takes no part in the first start.
  if (undecided_ && unwritten_) {
    return;
  }
  if (hello.answer_wanted()) {
    send_hello_(hello.address(), makeHello());
  }
  if (!undecided_) {
    return;
  }
  const bool same_members = hello.members_digest() == membersDigest(options_.seeds);
  if (hello.grouped()) {
    groupFound(hello.established() || !same_members);
    return;
  }
  if (hello.founder() && same_members) {
    founders_.insert(hello.address());
    formGroupIfDue();
  }
}

/// Takes part in a group that other founders have formed.
/// @param established whether this replica may be one of its members that has lost its disk, which
/// may have voted and stored what was acknowledged since. It then joins under another identity. A
/// group that has stored no order yet may need the vote of this founder for its first leader.
void GroupReplica::groupFound(bool established) {
  if (!established) {
    formGroup();
    return;
  }
  const uint64_t id = random_.next() | 1U;
  if (!recordWrite(store_.storeIdentity(id))) {
    return;
  }
  id_ = id;
  undecided_ = false;
  group_exists_ = true;
  makeNode(raft::RaftRecovery());
  line_log::write("identity_replaced", {{"id", id_}});
}

/// Forms the group once all founders are known, or once a majority of the seeds is and the others
/// had time to start.
void GroupReplica::formGroupIfDue() {
  const size_t known = founders_.size() + 1;
  const bool waited = clock_.monotonicMs() - started_ms_ >= kFoundersWaitMs;
  if (known == options_.seeds.size() || (waited && known > options_.seeds.size() / 2)) {
    formGroup();
  }
}

/// Makes the first membership, which is the same at all founders.
void GroupReplica::formGroup() {
  raft::RaftReady first;
  first.snapshot.emplace();
  first.snapshot->set_index(kFirstIndex);
  first.snapshot->set_term(kFirstTerm);
  first.snapshot->set_state(state_.save());
  first.snapshot->mutable_membership()->set_group(membersDigest(options_.seeds));
  first.hard_state.emplace();
  first.hard_state->set_term(kFirstTerm);
  for (const std::string& address : options_.seeds) {
    v1::RaftMember* member = first.snapshot->mutable_membership()->add_members();
    member->set_address(address);
    member->set_id(founderIdentity(address));
  }
  if (!recordWrite(store_.write(first))) {
    return;
  }
  raft::RaftRecovery recovery;
  recovery.hard_state = *first.hard_state;
  recovery.log.restore(*first.snapshot);
  makeNode(std::move(recovery));
  applied_ = kFirstIndex;
  group_exists_ = true;
  undecided_ = false;
  leader_last_known_ms_ = clock_.monotonicMs();
  line_log::write("group_formed",
                  {{"id", id_}, {"members", options_.seeds}, {"founders_heard", founders_.size()}});
}

/// @return whether the member has answered this leader since it was added, and within the last
/// election timeout.
bool GroupReplica::answers(uint64_t member) const {
  return node_->matchIndex(member) != 0 &&
         node_->ticksSinceReply(member) <= options_.election_ticks;
}

/// @return time since the last reply of the member, by ticks; valid at the leader.
int64_t GroupReplica::silentForMs(uint64_t member) const {
  return static_cast<int64_t>(node_->ticksSinceReply(member)) * options_.tick_ms;
}

/// @return time since this process last heard the voter, also while others led; valid at the
/// leader. A voter that has not answered this leader gets two election timeouts to do so.
int64_t GroupReplica::voterSilentForMs(uint64_t voter) const {
  const int64_t under_this_leader_ms = silentForMs(voter);
  const bool answered = node_->matchIndex(voter) != 0;
  const bool had_time = node_->ticksSinceReply(voter) >= uint64_t{2} * options_.election_ticks;
  if (answered || !had_time) {
    return under_this_leader_ms;
  }
  return std::max(under_this_leader_ms, presence_.silentForMs(voter, clock_.monotonicMs()));
}

/// Tells the other voters that this one is there, while a learner could take the vote of one that
/// is gone.
void GroupReplica::tellPresence() {
  const int64_t now = clock_.monotonicMs();
  if (now < presence_due_ms_) {
    return;
  }
  presence_due_ms_ = now + kPresencePeriodMs;
  const v1::RaftMembership membership = node_->membership();
  if (!raft::hasLearner(membership) || !votes()) {
    presence_.stop();
    return;
  }
  std::set<uint64_t> others;
  for (const v1::RaftMember& member : membership.members()) {
    if (!member.learner() && member.id() != id_) {
      others.insert(member.id());
      send_hello_(member.address(), makeHello());
    }
  }
  presence_.listen(others, now);
}

size_t GroupReplica::voterCount() const {
  const v1::RaftMembership membership = node_->membership();
  return static_cast<size_t>(
      std::count_if(membership.members().begin(), membership.members().end(),
                    [](const v1::RaftMember& member) { return !member.learner(); }));
}

/// @return whether the member answers and lags behind by a few entries at most.
bool GroupReplica::hasCaughtUp(uint64_t member) const {
  return answers(member) && node_->matchIndex(member) + kCaughtUpEntries >= node_->commitIndex();
}

void GroupReplica::advanceMembership() {
  const int64_t now = clock_.monotonicMs();
  if (!node_->isLeader()) {
    join_requests_.clear();
    departures_.clear();
    return;
  }
  const bool unchanged =
      join_requests_.empty() && departures_.empty() && voterCount() <= options_.voters;
  if (now < membership_due_ms_ || unchanged || !leads() || !node_->membershipCommitted()) {
    return;
  }
  membership_due_ms_ = now + kMembershipPeriodMs;
  if (advanceOneStep()) {
    scheduleProcess();
  }
}

/// Takes the next step for one of the replicas that requested to join or to leave.
/// @return whether a membership change was proposed.
bool GroupReplica::advanceOneStep() {
  const int64_t now = clock_.monotonicMs();
  std::erase_if(departures_, [&](const auto& entry) { return now >= entry.second; });
  for (const auto& [voter, valid_until_ms] : departures_) {
    if (advanceDeparture(voter)) {
      return true;
    }
  }
  for (const auto& [address, join] : join_requests_) {
    if (advanceJoin(join)) {
      return true;
    }
  }
  join_requests_.clear();
  // A voter that crashed while it was leaving still counts for the majority.
  return voterCount() > options_.voters && replaceSilentVoter(node_->membership());
}

/// @return whether the change was proposed.
bool GroupReplica::proposeStep(const char* step, const v1::RaftMember& member,
                               const v1::RaftMembership& membership) {
  ++stats_.membership_changes;
  line_log::write("membership_change",
                  {{"step", step}, {"id", member.id()}, {"address", member.address()}});
  return node_->proposeMembership(membership).has_value();
}

/// Takes the next step for a replica that requested to join: adds it as a learner, waits until it
/// has caught up, then removes a former identity at its address, makes it a voter or makes room for
/// it by removing a silent voter.
/// @return whether a membership change was proposed.
bool GroupReplica::advanceJoin(const v1::JoinRequest& join) {
  v1::RaftMembership membership = node_->membership();
  auto* members = membership.mutable_members();
  const auto own =
      std::find_if(members->begin(), members->end(),
                   [&](const v1::RaftMember& member) { return member.id() == join.id(); });
  if (own != members->end() && !own->learner()) {
    return false;
  }
  const auto former =
      std::find_if(members->begin(), members->end(), [&](const v1::RaftMember& member) {
        return member.address() == join.address() && member.id() != join.id();
      });
  v1::RaftMember joining;
  joining.set_id(join.id());
  joining.set_address(join.address());
  if (former != members->end() && answers(former->id())) {
    // The replica at this address has its disk: the request is an old one.
    return false;
  }
  if (own == members->end()) {
    joining.set_learner(true);
    *members->Add() = joining;
    return proposeStep("learner_added", joining, membership);
  }
  if (!hasCaughtUp(join.id())) {
    return false;
  }
  if (former != members->end()) {
    // The replica at this address lost its disk and with it its former identity.
    members->erase(former);
    return proposeStep("former_identity_removed", joining, membership);
  }
  if (voterCount() < options_.voters) {
    own->set_learner(false);
    return proposeStep("voter_added", joining, membership);
  }
  return replaceSilentVoter(std::move(membership));
}

/// Removes the voter that has been silent for the longest time, if any exceeds the limit. A learner
/// can then become a voter in its place.
/// @return whether a membership change was proposed.
bool GroupReplica::replaceSilentVoter(v1::RaftMembership membership) {
  auto* members = membership.mutable_members();
  auto silent = members->end();
  for (auto member = members->begin(); member != members->end(); ++member) {
    const bool candidate = !member->learner() && member->id() != id_ &&
                           voterSilentForMs(member->id()) >= options_.silent_voter_limit_ms;
    if (candidate && (silent == members->end() ||
                      voterSilentForMs(member->id()) > voterSilentForMs(silent->id()))) {
      silent = member;
    }
  }
  if (silent == members->end()) {
    return false;
  }
  const v1::RaftMember removed = *silent;
  members->erase(silent);
  return proposeStep("silent_voter_removed", removed, membership);
}

} // namespace workshatch::daemon

#include "simulated_group.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace workshatch::test {

namespace {

constexpr uint64_t kFirstIndex = 1;
constexpr uint64_t kCompactAbove = 40;
constexpr int64_t kMaxDelayMs = 120;

v1::RaftEntry baseOf(uint64_t index, uint64_t term) {
  v1::RaftEntry base;
  base.set_index(index);
  base.set_term(term);
  return base;
}

} // namespace

void SimulatedDisk::write(const raft::RaftReady& ready, size_t max_records) {
  if (ready.snapshot) {
    // The file is replaced by a rename, so it is written completely or not at all.
    if (max_records == 0) {
      return;
    }
    if (ready.hard_state) {
      hard_state = *ready.hard_state;
    }
    snapshot = *ready.snapshot;
    entries.assign(1, baseOf(snapshot.index(), snapshot.term()));
    entries.insert(entries.end(), ready.entries.begin(), ready.entries.end());
    return;
  }
  size_t written = 0;
  if (ready.hard_state && written++ < max_records) {
    hard_state = *ready.hard_state;
  }
  if (ready.truncate_from != 0 && written++ < max_records) {
    while (entries.size() > 1 && entries.back().index() >= ready.truncate_from) {
      entries.pop_back();
    }
  }
  for (const v1::RaftEntry& entry : ready.entries) {
    if (written++ < max_records) {
      entries.push_back(entry);
    }
  }
}

raft::RaftRecovery SimulatedDisk::recover() const {
  return raft::RaftRecovery{.hard_state = hard_state, .log = raft::RaftLog(snapshot, entries)};
}

SimulatedGroup::SimulatedGroup(uint64_t seed, size_t replicas, FaultRates rates, bool leases)
    : random_(seed), rates_(rates), leases_(leases) {
  v1::RaftSnapshot first;
  first.set_index(kFirstIndex);
  first.set_term(1);
  first.set_state(control::ReplicatedState().save());
  for (size_t i = 0; i < replicas; ++i) {
    first.mutable_membership()->add_members()->set_id(next_id_++);
  }
  for (const v1::RaftMember& member : first.membership().members()) {
    auto replica = std::make_unique<SimulatedReplica>();
    replica->id = member.id();
    replica->disk.snapshot = first;
    replica->disk.hard_state.set_term(1);
    replica->disk.entries.assign(1, baseOf(kFirstIndex, 1));
    start(*replica);
    replicas_.push_back(std::move(replica));
  }
}

void SimulatedGroup::fail(const std::string& text) {
  if (violation_.empty()) {
    violation_ = "at " + std::to_string(now_ms_) + " ms: " + text;
  }
}

void SimulatedGroup::start(SimulatedReplica& replica) {
  raft::RaftOptions options;
  options.election_ticks = kElectionTicks;
  options.trailing_entries = 5;
  options.withhold_votes_after_restart = leases_;
  options.first_election_ticks = leases_ ? 0 : kFirstElectionTicks;
  replica.node =
      std::make_unique<raft::RaftNode>(replica.id, options, random_, replica.disk.recover());
  replica.state = control::ReplicatedState();
  if (replica.disk.snapshot.index() != 0 && !replica.state.restore(replica.disk.snapshot.state())) {
    fail("snapshot cannot be read");
  }
  replica.applied = replica.disk.snapshot.index();
  replica.router_manager.reset();
  replica.up = true;
  replica.frozen = false;
  replica.missed_ticks = 0;
}

SimulatedReplica* SimulatedGroup::find(uint64_t id) {
  for (auto& replica : replicas_) {
    if (replica->id == id) {
      return replica.get();
    }
  }
  return nullptr;
}

SimulatedReplica* SimulatedGroup::leader() {
  SimulatedReplica* best = nullptr;
  for (auto& replica : replicas_) {
    const bool leads = replica->up && !replica->frozen && replica->node->isLeader();
    if (leads && (best == nullptr || replica->node->term() > best->node->term())) {
      best = replica.get();
    }
  }
  return best;
}

bool SimulatedGroup::propose(SimulatedReplica& replica, v1::Command command) {
  command.set_clock_ms(static_cast<uint64_t>(now_ms_));
  const bool accepted = replica.node->propose(command.SerializeAsString()).has_value();
  processReady(replica);
  return accepted;
}

void SimulatedGroup::requestRead(SimulatedReplica& replica) {
  reads_[next_read_] = Read{.least_index = highestCommit()};
  replica.node->requestRead(next_read_++);
  processReady(replica);
}

void SimulatedGroup::processReady(SimulatedReplica& replica) {
  while (replica.up) {
    raft::RaftReady ready = replica.node->takeReady();
    const bool nothing = !ready.needsSync() && ready.messages.empty() && ready.committed.empty() &&
                         ready.reads.empty();
    if (nothing) {
      break;
    }
    if (tear_next_ == replica.id && ready.needsSync()) {
      tear_next_ = 0;
      replica.disk.write(ready, random_.below(ready.entries.size() + 3));
      replica.up = false;
      return;
    }
    replica.disk.write(ready, std::numeric_limits<size_t>::max());
    if (ready.snapshot) {
      if (!replica.state.restore(ready.snapshot->state())) {
        fail("snapshot cannot be read");
      }
      replica.applied = ready.snapshot->index();
    }
    replica.node->persisted();
    for (const v1::RaftMessage& message : ready.messages) {
      send(message);
    }
    for (const v1::RaftEntry& entry : ready.committed) {
      apply(replica, entry);
    }
    for (const raft::ReadConfirmation& read : ready.reads) {
      if (read.confirmed) {
        ++confirmed_reads_;
        if (read.index < reads_[read.context].least_index) {
          fail("a confirmed read misses an entry that was committed before it");
        }
      }
    }
  }
  if (!replica.node->isLeader()) {
    replica.router_manager.reset();
  } else if (!replica.router_manager || replica.router_manager_term != replica.node->term()) {
    replica.router_manager_term = replica.node->term();
    replica.router_manager.emplace(control::LeaseOptions{.lease_ms = kLeaseMs});
  }
  if (replica.applied > replica.node->log().snapshot().index() + kCompactAbove) {
    replica.node->compact(replica.applied, replica.state.save());
    replica.disk.snapshot = replica.node->log().snapshot();
    replica.disk.entries = replica.node->log().entriesWithBase();
  }
}

void SimulatedGroup::apply(SimulatedReplica& replica, const v1::RaftEntry& entry) {
  if (entry.index() != replica.applied + 1) {
    fail("entries are applied out of order");
  }
  replica.applied = entry.index();
  const std::string bytes = entry.SerializeAsString();
  const auto [found, added] = committed_.emplace(entry.index(), bytes);
  if (!added && found->second != bytes) {
    fail("two replicas committed different entries at index " + std::to_string(entry.index()));
  }
  v1::Command command;
  if (!entry.command().empty() && command.ParseFromString(entry.command())) {
    replica.state.apply(command);
    if (on_applied) {
      on_applied(replica);
    }
  }
}

void SimulatedGroup::send(const v1::RaftMessage& message) {
  if (cuts_.contains({message.from(), message.to()}) || chance(rates_.lose)) {
    return;
  }
  const size_t copies = chance(rates_.repeat) ? 2 : 1;
  for (size_t i = 0; i < copies; ++i) {
    const auto delay = static_cast<int64_t>(random_.below(kMaxDelayMs));
    flights_.push_back(Flight{.at_ms = now_ms_ + delay, .message = message});
  }
}

void SimulatedGroup::deliver() {
  std::vector<Flight> due;
  std::vector<Flight> later;
  for (Flight& flight : flights_) {
    const SimulatedReplica* target = find(flight.message.to());
    // Messages to a frozen replica wait in its socket.
    const bool waits = target != nullptr && target->frozen;
    (flight.at_ms <= now_ms_ && !waits ? due : later).push_back(std::move(flight));
  }
  flights_ = std::move(later);
  std::stable_sort(due.begin(), due.end(), [](const Flight& left, const Flight& right) {
    return left.at_ms < right.at_ms;
  });
  for (const Flight& flight : due) {
    SimulatedReplica* target = find(flight.message.to());
    if (target != nullptr && target->up) {
      target->node->step(flight.message);
      processReady(*target);
    }
  }
}

void SimulatedGroup::tick(SimulatedReplica& replica) {
  if (!replica.up) {
    return;
  }
  if (replica.frozen) {
    ++replica.missed_ticks;
    return;
  }
  for (int64_t ticks = std::exchange(replica.missed_ticks, 0) + 1; ticks > 0; --ticks) {
    replica.node->tick();
  }
  processReady(replica);
  if (replica.router_manager && replica.node->committedInTerm()) {
    if (auto drop = replica.router_manager->dropExpired(replica.state, now_ms_)) {
      propose(replica, *drop);
    }
  }
}

void SimulatedGroup::crash(SimulatedReplica& replica, bool torn) {
  if (torn && replica.node->isLeader()) {
    // The replica crashes during its next write, which is torn.
    tear_next_ = replica.id;
    return;
  }
  replica.up = false;
}

void SimulatedGroup::injectCuts(SimulatedReplica& replica) {
  const bool isolated = chance(rates_.isolate);
  for (auto& other : replicas_) {
    const std::pair out(replica.id, other->id);
    const std::pair in(other->id, replica.id);
    if (out.first == out.second) {
      continue;
    }
    if (isolated) {
      cuts_.insert(out);
      cuts_.insert(in);
    } else if (chance(rates_.cut)) {
      cuts_.insert(out);
    } else if (chance(40)) {
      cuts_.erase(out);
    }
  }
}

void SimulatedGroup::injectFaults() {
  for (auto& replica : replicas_) {
    if (replica->lost) {
      continue;
    }
    if (replica->up && chance(rates_.crash)) {
      crash(*replica, chance(500));
    } else if (!replica->up && chance(rates_.restart)) {
      start(*replica);
    }
    if (replica->up && !replica->frozen && chance(rates_.freeze)) {
      replica->frozen = true;
    } else if (replica->frozen && chance(60)) {
      replica->frozen = false;
    }
    injectCuts(*replica);
  }
  const bool all_healthy = std::all_of(replicas_.begin(), replicas_.end(), [](const auto& replica) {
    return replica->up && !replica->frozen;
  });
  if (all_healthy && chance(rates_.lose_disk)) {
    SimulatedReplica& victim = *replicas_[random_.below(replicas_.size())];
    victim.lost = true;
    victim.up = false;
    auto fresh = std::make_unique<SimulatedReplica>();
    fresh->id = next_id_++;
    start(*fresh);
    replicas_.push_back(std::move(fresh));
  }
}

/// Replaces lost replicas as an operator does: one membership change at a time, in the order in
/// which the daemon makes them.
void SimulatedGroup::replaceLost() {
  SimulatedReplica* leading = leader();
  if (leading == nullptr) {
    return;
  }
  v1::RaftMembership membership = leading->node->membership();
  auto* members = membership.mutable_members();
  for (auto& replica : replicas_) {
    const auto found = std::find_if(members->begin(), members->end(),
                                    [&](const auto& member) { return member.id() == replica->id; });
    if (!replica->lost && found == members->end()) {
      v1::RaftMember* member = members->Add();
      member->set_id(replica->id);
      member->set_learner(true);
      break;
    }
    if (replica->lost && found != members->end()) {
      const bool learner_ready = std::any_of(members->begin(), members->end(), [&](const auto& m) {
        return m.learner() && leading->node->matchIndex(m.id()) >= leading->node->commitIndex();
      });
      if (!learner_ready) {
        return;
      }
      members->erase(found);
      break;
    }
    if (!replica->lost && found->learner() && members->size() == 3) {
      found->set_learner(false);
      break;
    }
  }
  if (membership.SerializeAsString() != leading->node->membership().SerializeAsString()) {
    leading->node->proposeMembership(membership);
    processReady(*leading);
  }
}

void SimulatedGroup::checkLeaders() {
  SimulatedReplica* leased = nullptr;
  uint64_t highest_term = 0;
  for (auto& replica : replicas_) {
    if (!replica->up || replica->frozen || !replica->node->isLeader()) {
      continue;
    }
    const uint64_t term = replica->node->term();
    highest_term = std::max(highest_term, term);
    const auto [found, added] = leader_of_term_.emplace(term, replica->id);
    if (!added && found->second != replica->id) {
      fail("two leaders in term " + std::to_string(term));
    }
    if (leases_ && replica->node->hasLeaderLease()) {
      if (leased != nullptr) {
        fail("two leaders have a valid lease");
      }
      leased = replica.get();
    }
  }
  if (leased != nullptr && leased->node->term() < highest_term) {
    fail("a leader has a valid lease although a later term has a leader");
  }
}

void SimulatedGroup::step() {
  now_ms_ += kTickMs;
  injectFaults();
  for (auto& replica : replicas_) {
    tick(*replica);
  }
  deliver();
  replaceLost();
  checkLeaders();
}

void SimulatedGroup::healAll() {
  rates_ = FaultRates{.lose = 0,
                      .repeat = 0,
                      .crash = 0,
                      .freeze = 0,
                      .cut = 0,
                      .isolate = 0,
                      .restart = 1000,
                      .lose_disk = 0};
  cuts_.clear();
  tear_next_ = 0;
  for (auto& replica : replicas_) {
    replica->frozen = false;
    if (!replica->up && !replica->lost) {
      start(*replica);
    }
  }
}

} // namespace workshatch::test

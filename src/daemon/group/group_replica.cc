#include "daemon/group/group_replica.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include "adapters/logging/line_log.h"
#include "core/check.h"
#include "core/relay/served_versions.h"
#include "daemon/group/founder_identity.h"

namespace workshatch::daemon {

namespace {

/// Maximum number of missed ticks that are run after the process was suspended.
constexpr int64_t kMaxCatchUpTicks = 100;

} // namespace

GroupReplica::GroupReplica(boost::asio::io_context& context, GroupOptions options, LogStore& store,
                           const Clock& clock, Random& random, ReplicaTransport& transport)
    : context_(context), options_(std::move(options)), store_(store), clock_(clock),
      random_(random), transport_(transport), tick_timer_(context),
      directory_(options_.own_address, options_.seeds) {}

Result<std::monostate> GroupReplica::start() {
  auto loaded = store_.load();
  if (isError(loaded)) {
    return errorOf(loaded);
  }
  StoredReplica& replica = std::get<StoredReplica>(loaded);
  id_ = replica.id;
  const v1::RaftSnapshot snapshot = replica.recovery.log.snapshot();
  if (snapshot.index() != 0 && !state_.restore(snapshot.state())) {
    return Error{"cannot restore the state from the snapshot in the data folder"};
  }
  applied_ = snapshot.index();
  group_exists_ = !replica.recovery.log.latestMembership().members().empty();
  undecided_ = !group_exists_ && replica.recovery.hard_state.term() == 0 &&
               isSeed(options_.own_address) && id_ == founderIdentity(options_.own_address);
  makeNode(std::move(replica.recovery));
  directory_.setMembers(memberAddresses());
  beginTime();
  line_log::write("replica_started", {{"id", id_},
                                      {"grouped", group_exists_},
                                      {"version", state_.configuration().version()},
                                      {"term", node_->term()}});
  // Nothing of what was read may be told before it is durable.
  unwritten_.emplace();
  writeReady();
  scheduleTick();
  return std::monostate{};
}

/// The replica takes part from now on.
void GroupReplica::beginTime() {
  started_ms_ = clock_.monotonicMs();
  next_tick_ms_ = started_ms_ + options_.tick_ms;
  leader_last_known_ms_ = started_ms_;
}

void GroupReplica::makeNode(raft::RaftRecovery recovery) {
  raft::RaftOptions raft_options;
  raft_options.election_ticks = options_.election_ticks;
  raft_options.first_election_ticks = options_.first_election_ticks;
  // Votes need not be withheld after a restart: leases of relays are confirmed by a majority read,
  // not by the leader lease.
  raft_options.withhold_votes_after_restart = false;
  raft_options.trailing_entries = options_.trailing_entries;
  node_ = std::make_unique<raft::RaftNode>(id_, raft_options, random_, std::move(recovery));
}

void GroupReplica::scheduleTick() {
  tick_timer_.expires_after(std::chrono::milliseconds(options_.tick_ms));
  // A timer that has expired cannot be cancelled: its handler may run after the destruction.
  tick_timer_.async_wait(
      [this, alive = std::weak_ptr<char>(alive_)](boost::system::error_code failure) {
        if (failure || alive.expired()) {
          return;
        }
        process();
        scheduleTick();
      });
}

void GroupReplica::catchUpTicks() {
  const int64_t now = clock_.monotonicMs();
  if ((now - next_tick_ms_) / options_.tick_ms > kMaxCatchUpTicks) {
    next_tick_ms_ = now - kMaxCatchUpTicks * options_.tick_ms;
  }
  while (next_tick_ms_ <= now) {
    next_tick_ms_ += options_.tick_ms;
    node_->tick();
  }
}

void GroupReplica::scheduleProcess() {
  if (std::exchange(process_scheduled_, true)) {
    return;
  }
  boost::asio::post(context_, [this, alive = std::weak_ptr<char>(alive_)] {
    if (!alive.expired()) {
      process();
    }
  });
}

void GroupReplica::process() {
  process_scheduled_ = false;
  if (unwritten_ && !writeReady()) {
    return;
  }
  catchUpTicks();
  while (true) {
    unwritten_ = node_->takeReady();
    const bool idle = !unwritten_->needsSync() && unwritten_->messages.empty() &&
                      unwritten_->committed.empty() && unwritten_->reads.empty();
    if (idle) {
      unwritten_.reset();
      break;
    }
    if (!writeReady()) {
      return;
    }
  }
  updateLeadership();
  recordStanding();
  compactIfDue();
  if (leaving_) {
    requestLeave();
  } else {
    findGroup();
  }
  tellPresence();
  advanceMembership();
  announceMembers();
}

/// Makes `unwritten_` durable, then sends its messages and applies its entries. Messages must not
/// be sent and entries must not be applied before the write is durable. At first, makes durable
/// what was read at the start.
/// @return false if the disk write failed.
bool GroupReplica::writeReady() {
  if (!settled_ || unwritten_->needsSync()) {
    const int64_t begin_ms = clock_.monotonicMs();
    const auto written = settled_ ? store_.write(*unwritten_) : store_.settle();
    stats_.disk_write.add(clock_.monotonicMs() - begin_ms);
    if (!recordWrite(written)) {
      // Callers that wait for a change or a read retry at another replica.
      failPending();
      return false;
    }
  }
  if (!std::exchange(settled_, true)) {
    beginTime();
  }
  finishReady();
  return true;
}

/// Counts a refused write, and logs when the disk begins and ceases to refuse.
/// @return whether the write succeeded.
bool GroupReplica::recordWrite(const Result<std::monostate>& written) {
  const bool failed = isError(written);
  stats_.disk_failures += failed ? 1 : 0;
  const bool changed = std::exchange(stats_.disk_failing, failed) != failed;
  if (changed && failed) {
    line_log::write("disk_failed", {{"error", errorOf(written).message}});
  } else if (changed) {
    line_log::write("disk_recovered", {{"id", id_}});
  }
  return !failed;
}

void GroupReplica::finishReady() {
  raft::RaftReady ready = std::move(*unwritten_);
  unwritten_.reset();
  heard_leader_.clear();
  if (ready.snapshot) {
    WORKSHATCH_CHECK(state_.restore(ready.snapshot->state()),
                     "cannot restore the snapshot received from the leader");
    applied_ = ready.snapshot->index();
    group_exists_ = true;
    line_log::write("snapshot_restored", {{"index", applied_},
                                          {"version", state_.configuration().version()},
                                          {"bytes", ready.snapshot->state().size()}});
    if (on_change_) {
      on_change_();
    }
  }
  node_->persisted();
  for (v1::RaftMessage& message : ready.messages) {
    const std::string address = addressOf(message.to());
    if (!address.empty()) {
      if (needsGroup(message)) {
        message.set_group(groupIdentity());
      }
      transport_.send(address, std::move(message));
    }
  }
  for (const v1::RaftEntry& entry : ready.committed) {
    applyEntry(entry);
  }
  for (const raft::ReadConfirmation& read : ready.reads) {
    const auto found = reads_.find(read.context);
    if (found != reads_.end()) {
      const auto done = std::move(found->second);
      reads_.erase(found);
      done(read.confirmed ? &state_.configuration() : nullptr);
    }
  }
}

void GroupReplica::applyEntry(const v1::RaftEntry& entry) {
  applied_ = entry.index();
  bytes_since_snapshot_ += entry.command().size();
  const auto change = entry.command().empty() ? relay::GroupState::Change::None
                                              : state_.apply(entry.command(), entry.index());
  if (change != relay::GroupState::Change::None) {
    logChange(change);
    if (on_change_) {
      on_change_();
    }
  }
  answerProposal(entry);
}

void GroupReplica::logChange(relay::GroupState::Change change) const {
  if (change == relay::GroupState::Change::Configuration) {
    line_log::write("configuration_committed",
                    {{"version", state_.configuration().version()}, {"term", node_->term()}});
    return;
  }
  if (change == relay::GroupState::Change::Quarantine) {
    line_log::write("quarantine_committed", {{"version", state_.quarantine().version()},
                                             {"requests", state_.quarantine().requests_size()},
                                             {"term", node_->term()}});
    return;
  }
  if (change == relay::GroupState::Change::Rollouts) {
    for (const v1::Rollout& rollout : state_.rollouts().rollouts()) {
      line_log::write("rollout_committed", {{"version", state_.rollouts().version()},
                                            {"service", rollout.service()},
                                            {"target_version", rollout.target_version()},
                                            {"phase", relay::nameOf(rollout.phase())},
                                            {"term", node_->term()}});
    }
    return;
  }
  if (change == relay::GroupState::Change::ServedVersions) {
    line_log::write("served_versions_committed",
                    {{"version", state_.servedVersions().version()},
                     {"services", relay::describeServedVersions(state_.servedVersions())},
                     {"term", node_->term()}});
    return;
  }
  line_log::write("evacuations_committed",
                  {{"version", state_.evacuations().version()},
                   {"zones", relay::evacuatedZoneNames(state_.evacuations())},
                   {"term", node_->term()}});
}

/// Answers the caller whose command was proposed at the index of an applied entry. After a
/// configuration command was applied, its version or a higher one is in force.
void GroupReplica::answerProposal(const v1::RaftEntry& applied) {
  const auto found =
      std::find_if(proposals_.begin(), proposals_.end(),
                   [&](const Proposal& proposal) { return proposal.index == applied.index(); });
  if (found == proposals_.end()) {
    return;
  }
  const Proposal proposal = std::move(*found);
  proposals_.erase(found);
  // An entry with another term was written by another leader and has replaced this command.
  const bool own = proposal.term == applied.term();
  proposal.done(own ? StoreOutcome::Stored : StoreOutcome::NotLeader);
}

void GroupReplica::propose(const v1::GroupCommand& command, ReplyCallback<StoreOutcome> done) {
  const std::optional<uint64_t> index = node_->propose(command.SerializeAsString());
  if (!index) {
    done(StoreOutcome::NotLeader);
    return;
  }
  proposals_.push_back(Proposal{.index = *index, .term = node_->term(), .done = std::move(done)});
  scheduleProcess();
}

void GroupReplica::store(v1::StoredConfiguration configuration, StoreCallback done) {
  ReplyCallback<StoreOutcome> reply = calls_.accept(std::move(done));
  if (unwritten_ || !leads()) {
    reply(StoreOutcome::NotLeader);
    return;
  }
  if (configuration.version() <= state_.configuration().version()) {
    reply(StoreOutcome::Stored);
    return;
  }
  v1::GroupCommand command;
  *command.mutable_store() = std::move(configuration);
  propose(command, std::move(reply));
}

void GroupReplica::order(const v1::GroupCommand& command, StoreCallback done) {
  ReplyCallback<StoreOutcome> reply = calls_.accept(std::move(done));
  if (unwritten_ || !leads()) {
    reply(StoreOutcome::NotLeader);
    return;
  }
  propose(command, std::move(reply));
}

void GroupReplica::read(ReadCallback done) {
  ReplyCallback<const v1::StoredConfiguration*> reply = calls_.accept(std::move(done));
  if (!isLeader()) {
    reply(nullptr);
    return;
  }
  const uint64_t context = next_context_++;
  reads_[context] = std::move(reply);
  node_->requestRead(context);
  scheduleProcess();
}

bool GroupReplica::leads() {
  if (unwritten_ || !node_) {
    return false;
  }
  // Ticks run first: after a suspension, a former leader must detect that its lease has expired
  // before it answers any call.
  catchUpTicks();
  return node_->committedInTerm() && node_->hasLeaderLease();
}

int64_t GroupReplica::leadingForMs() const {
  return was_leader_ ? clock_.monotonicMs() - leading_since_ms_ : 0;
}

int64_t GroupReplica::leaderlessForMs() const {
  return knowsLeader() ? 0 : clock_.monotonicMs() - leader_last_known_ms_;
}

void GroupReplica::updateLeadership() {
  if (node_->leader() != 0) {
    leader_last_known_ms_ = clock_.monotonicMs();
    leader_was_known_ = true;
  }
  const bool leader = node_->isLeader();
  const bool new_term = leader && leader_term_ != node_->term();
  if (was_leader_ && (!leader || new_term)) {
    failPending();
    ++stats_.leaderships_lost;
    line_log::write("leadership_lost", {{"term", node_->term()}});
  }
  if (leader && (!was_leader_ || new_term)) {
    leading_since_ms_ = clock_.monotonicMs();
    ++stats_.leaderships_won;
    line_log::write("leadership_won", {{"term", node_->term()}, {"id", id_}});
  }
  was_leader_ = leader;
  leader_term_ = leader ? node_->term() : 0;
  reportLeader();
}

void GroupReplica::reportLeader() {
  const bool usable = !node_->isLeader() || node_->committedInTerm();
  const uint64_t leader = usable ? node_->leader() : 0;
  const bool changed = std::exchange(reported_leader_, leader) != leader && leader != 0;
  if (!changed) {
    return;
  }
  announcement_due_ms_ = 0;
  if (on_leader_known_) {
    on_leader_known_();
  }
}

void GroupReplica::failPending() {
  for (const Proposal& proposal : std::exchange(proposals_, {})) {
    proposal.done(StoreOutcome::NotLeader);
  }
  for (auto& [context, done] : std::exchange(reads_, {})) {
    done(nullptr);
  }
}

void GroupReplica::compactIfDue() {
  const bool due = applied_ >= node_->log().snapshot().index() + options_.snapshot_entries ||
                   bytes_since_snapshot_ >= options_.snapshot_bytes;
  if (!due) {
    return;
  }
  bytes_since_snapshot_ = 0;
  node_->compact(applied_, state_.save());
  const auto stored = store_.compact(node_->log(), node_->hardState());
  if (isError(stored)) {
    line_log::write("snapshot_failed", {{"error", errorOf(stored).message}});
  }
}

void GroupReplica::handOverLeadership() {
  node_->transferLeadership();
  process();
}

void GroupReplica::end() {
  calls_.end();
  const CallCounts counts = calls_.counts();
  line_log::write(
      "calls_ended",
      {{"taken", counts.accepted}, {"answered", counts.answered}, {"refused", counts.refused}});
}

void GroupReplica::setSeeds(std::vector<std::string> seeds) {
  options_.seeds = std::move(seeds);
  directory_.setSeeds(options_.seeds);
  // They were counted for another group.
  founders_.clear();
}

/// @return false for a snapshot that cannot be restored: it must not replace the state on the disk.
bool GroupReplica::isReadable(const v1::RaftMessage& message) {
  return message.type() != v1::RAFT_INSTALL_SNAPSHOT ||
         relay::GroupState().restore(message.snapshot().state());
}

/// @return whether the receiver may not belong to this group yet. A member that has stored entries
/// of this leader does, and replies go to one whose group was compared.
bool GroupReplica::needsGroup(const v1::RaftMessage& message) const {
  if (message.type() == v1::RAFT_APPEND) {
    return node_->matchIndex(message.to()) == 0;
  }
  return message.type() != v1::RAFT_APPEND_REPLY;
}

uint64_t GroupReplica::groupIdentity() const {
  const uint64_t group = node_->membership().group();
  return group != 0 ? group : first_group_;
}

bool GroupReplica::admits(const v1::RaftMessage& message) {
  const uint64_t own = groupIdentity();
  if (own != 0 && message.group() != 0 && message.group() != own) {
    recordContradiction(message);
    return false;
  }
  if (own == 0 && message.to() == id_) {
    first_group_ = message.group();
  }
  return true;
}

/// Logs the first of successive messages from a replica in a term that contradict this one's log or
/// come from another group.
void GroupReplica::recordContradiction(const v1::RaftMessage& message) {
  uint64_t& logged_term = contradictions_[message.from()];
  if (logged_term == message.term()) {
    return;
  }
  logged_term = message.term();
  line_log::write("raft_message_ignored", {{"from", message.from()},
                                           {"type", v1::RaftMessageType_Name(message.type())},
                                           {"term", message.term()},
                                           {"group", message.group()},
                                           {"match_index", message.match_index()},
                                           {"last_index", node_->log().lastIndex()}});
}

void GroupReplica::deliver(const v1::RaftBatch& batch) {
  if (unwritten_) {
    noteLeader(batch);
    return;
  }
  if (undecided_) {
    return;
  }
  catchUpTicks();
  for (const v1::RaftMessage& message : batch.messages()) {
    if (!admits(message)) {
      continue;
    }
    // A member that does not know of a lost disk keeps sending to the former identity here.
    contactsTold({batch.sender_address()});
    sender_addresses_[message.from()] = batch.sender_address();
    presence_.heard(message.from(), clock_.monotonicMs());
    if (!isReadable(message) || !node_->step(message)) {
      recordContradiction(message);
    }
  }
  scheduleProcess();
}

/// Remembers who leads while this replica ignores Raft messages, so that callers are sent there.
void GroupReplica::noteLeader(const v1::RaftBatch& batch) {
  const auto& messages = batch.messages();
  const bool leads =
      std::any_of(messages.begin(), messages.end(), [this](const v1::RaftMessage& message) {
        return message.type() == v1::RAFT_APPEND && message.term() >= node_->term();
      });
  if (!leads) {
    return;
  }
  leader_last_known_ms_ = clock_.monotonicMs();
  const bool changed = heard_leader_ != batch.sender_address();
  heard_leader_ = batch.sender_address();
  if (changed && on_leader_known_) {
    on_leader_known_();
  }
}

std::string GroupReplica::addressOf(uint64_t member) const {
  const v1::RaftMembership membership = node_->membership();
  for (const v1::RaftMember& candidate : membership.members()) {
    if (candidate.id() == member) {
      return candidate.address();
    }
  }
  const auto sender = sender_addresses_.find(member);
  return sender == sender_addresses_.end() ? "" : sender->second;
}

bool GroupReplica::knowsLeader() const {
  return node_->leader() != 0 || (unwritten_ && !heard_leader_.empty());
}

std::string GroupReplica::leaderAddress() const {
  if (unwritten_ && !heard_leader_.empty()) {
    return heard_leader_;
  }
  return node_->leader() == 0 || node_->leader() == id_ ? "" : addressOf(node_->leader());
}

std::vector<std::string> GroupReplica::memberAddresses() const {
  std::vector<std::string> addresses;
  const v1::RaftMembership membership = node_->membership();
  for (const v1::RaftMember& member : membership.members()) {
    addresses.push_back(member.address());
  }
  return addresses;
}

} // namespace workshatch::daemon

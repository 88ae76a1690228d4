#include "daemon/control/control_replica.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "adapters/logging/json_log.h"
#include "core/check.h"

namespace workshatch::daemon {

namespace {

/// Index and term of the snapshot that every replica of a new group starts from.
constexpr uint64_t kFirstIndex = 1;
constexpr uint64_t kFirstTerm = 1;

} // namespace

ControlReplica::ControlReplica(ReplicaOptions options, LogStore& store, const Clock& clock,
                               Random& random, ReplicaTransport& transport)
    : options_(std::move(options)), store_(store), clock_(clock), random_(random),
      transport_(transport) {}

ControlReplica::~ControlReplica() {
  WORKSHATCH_CHECK(stop() == StopOutcome::Ended,
                   "a replica must not be destroyed while a disk write hangs");
}

Result<std::monostate> ControlReplica::start() {
  auto stored = store_.load();
  if (isError(stored)) {
    return errorOf(stored);
  }
  StoredReplica& replica = std::get<StoredReplica>(stored);
  id_ = replica.id;
  const v1::RaftSnapshot snapshot = replica.recovery.log.snapshot();
  if (snapshot.index() != 0 && !state_.restore(snapshot.state())) {
    return Error{"cannot restore the state from the snapshot in the data folder"};
  }
  applied_ = snapshot.index();
  ungrouped_ = replica.recovery.log.latestMembership().members().empty();
  makeNode(std::move(replica.recovery));
  thread_ = std::thread([this] { run(); });
  return std::monostate{};
}

void ControlReplica::processReady() {
  while (true) {
    raft::RaftReady ready = node_->takeReady();
    const bool idle = !ready.needsSync() && ready.messages.empty() && ready.committed.empty() &&
                      ready.reads.empty();
    if (idle) {
      break;
    }
    if (ready.needsSync() && !writeReady(ready)) {
      return;
    }
    if (ready.snapshot) {
      WORKSHATCH_CHECK(state_.restore(ready.snapshot->state()),
                       "cannot restore the snapshot received from the leader");
      applied_ = ready.snapshot->index();
      ungrouped_ = false;
    }
    node_->persisted();
    sendMessages(std::move(ready.messages));
    for (const v1::RaftEntry& entry : ready.committed) {
      applyEntry(entry);
    }
    for (const raft::ReadConfirmation& read : ready.reads) {
      const auto found = reads_.find(read.context);
      if (found != reads_.end()) {
        auto done = std::move(found->second);
        reads_.erase(found);
        done(read.confirmed);
      }
    }
  }
  updateLeadership();
  compactIfDue();
}

void ControlReplica::applyEntry(const v1::RaftEntry& entry) {
  applied_ = entry.index();
  if (entry.command().empty()) {
    return;
  }
  v1::Command command;
  WORKSHATCH_CHECK(command.ParseFromString(entry.command()), "cannot parse a committed command");
  control::CommandResult result = state_.apply(command);
  const auto found = proposals_.find(command.proposal());
  if (found != proposals_.end()) {
    ProposalCallback done = std::move(found->second);
    proposals_.erase(found);
    done(std::move(result));
  }
}

void ControlReplica::sendMessages(std::vector<v1::RaftMessage> messages) {
  for (v1::RaftMessage& message : messages) {
    const std::string address = addressOf(message.to());
    if (!address.empty()) {
      transport_.send(address, std::move(message));
    }
  }
}

void ControlReplica::compactIfDue() {
  if (applied_ < node_->log().snapshot().index() + options_.snapshot_entries) {
    return;
  }
  node_->compact(applied_, state_.save());
  v1::RaftHardState hard_state = node_->hardState();
  const auto stored = store_.compact(node_->log(), hard_state);
  if (isError(stored)) {
    logging::write(logging::Severity::Error, "snapshot_failed",
                   {{"error", errorOf(stored).message}});
  }
}

void ControlReplica::updateLeadership() {
  leads_ = node_->isLeader();
  if (!node_->isLeader()) {
    if (router_manager_) {
      router_manager_.reset();
      failPending();
      logging::write(logging::Severity::Info, "leadership_lost", {{"term", node_->term()}});
    }
    return;
  }
  if (router_manager_ && leader_term_ == node_->term()) {
    return;
  }
  leader_term_ = node_->term();
  router_manager_.emplace(options_.leases);
  logging::write(logging::Severity::Info, "leadership_won", {{"term", node_->term()}, {"id", id_}});
}

void ControlReplica::failPending() {
  for (auto& [proposal, done] : std::exchange(proposals_, {})) {
    done(NotLeader{leaderAddress()});
  }
  for (auto& [context, done] : std::exchange(reads_, {})) {
    done(false);
  }
  for (PendingAccept& wait : std::exchange(pending_accepts_, {})) {
    wait.reply(notLeader<v1::ApplyReply>());
  }
}

void ControlReplica::runLeaderTasks() {
  if (!router_manager_ || !node_->committedInTerm()) {
    return;
  }
  checkPendingAccepts();
  std::optional<v1::Command> drop = router_manager_->dropExpired(state_, clock_.monotonicMs());
  if (!drop) {
    return;
  }
  nlohmann::json names = nlohmann::json::array();
  for (const v1::RouterKey& key : drop->drop_routers().routers()) {
    names.push_back(key.name());
  }
  logging::write(logging::Severity::Warning, "routers_dropped", {{"routers", names}});
  propose(std::move(*drop), [](const ProposalOutcome&) {});
}

void ControlReplica::checkPendingAccepts() {
  const int64_t now = clock_.monotonicMs();
  std::vector<PendingAccept> kept;
  for (PendingAccept& wait : std::exchange(pending_accepts_, {})) {
    v1::ApplyReply reply;
    reply.set_revision(wait.revision);
    if (router_manager_->isActiveOnAllRouters(state_, wait.revision)) {
      reply.set_state(v1::APPLY_ACCEPTED);
      wait.reply(std::move(reply));
    } else if (now >= wait.until_ms) {
      const auto waiting_for =
          router_manager_->leases().routersBehind(state_.view(), wait.revision);
      reply.set_state(v1::APPLY_PENDING);
      reply.mutable_waiting_for()->Assign(waiting_for.begin(), waiting_for.end());
      wait.reply(std::move(reply));
    } else {
      kept.push_back(std::move(wait));
    }
  }
  for (PendingAccept& wait : kept) {
    pending_accepts_.push_back(std::move(wait));
  }
}

void ControlReplica::makeNode(raft::RaftRecovery recovery) {
  raft::RaftOptions raft_options;
  raft_options.election_ticks = options_.election_ticks;
  node_ = std::make_unique<raft::RaftNode>(id_, raft_options, random_, std::move(recovery));
}

void ControlReplica::formGroup() {
  if (!ungrouped_) {
    return;
  }
  raft::RaftReady first;
  first.snapshot.emplace();
  first.snapshot->set_index(kFirstIndex);
  first.snapshot->set_term(kFirstTerm);
  first.snapshot->set_state(state_.save());
  first.hard_state.emplace();
  first.hard_state->set_term(kFirstTerm);
  for (const std::string& address : options_.initial_addresses) {
    v1::RaftMember* member = first.snapshot->mutable_membership()->add_members();
    member->set_address(address);
    member->set_id(address == options_.own_address ? id_ : hello_ids_.at(address));
  }
  if (!writeReady(first)) {
    return;
  }
  raft::RaftRecovery recovery;
  recovery.hard_state = *first.hard_state;
  recovery.log.restore(*first.snapshot);
  makeNode(std::move(recovery));
  applied_ = kFirstIndex;
  ungrouped_ = false;
  logging::write(logging::Severity::Info, "group_formed",
                 {{"id", id_}, {"members", options_.initial_addresses}});
}

std::string ControlReplica::addressOf(uint64_t member) const {
  const v1::RaftMembership membership = node_->membership();
  for (const v1::RaftMember& candidate : membership.members()) {
    if (candidate.id() == member) {
      return candidate.address();
    }
  }
  const auto sender = sender_addresses_.find(member);
  return sender == sender_addresses_.end() ? "" : sender->second;
}

std::string ControlReplica::leaderAddress() const {
  return node_->leader() == 0 || node_->leader() == id_ ? "" : addressOf(node_->leader());
}

} // namespace workshatch::daemon

#include "core/control/replicated_state.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace workshatch::control {

namespace {

/// Number of changes whose first answer is kept for resent requests: five days at 1,900 changes a
/// day.
constexpr size_t kMaxRecordedChanges = 10'000;
constexpr uint64_t kMillisecondsPerHour = 3'600'000;
constexpr uint32_t kDefaultLedgerRetentionHours = 48;

uint64_t digestOf(const google::protobuf::Message& message) {
  const std::string bytes = message.SerializeAsString();
  return XXH3_64bits(bytes.data(), bytes.size());
}

v1::ApplyReply replyFor(const v1::AppliedChange& change, uint64_t digest) {
  v1::ApplyReply reply;
  if (change.digest() != digest) {
    reply.set_state(v1::APPLY_REQUEST_ID_REUSED);
    reply.set_revision(change.revision());
  } else if (change.conflict()) {
    reply.set_state(v1::APPLY_CONFLICT);
    reply.set_revision(change.winner_revision());
  } else {
    reply.set_state(v1::APPLY_PENDING);
    reply.set_revision(change.revision());
  }
  return reply;
}

} // namespace

CommandResult ReplicatedState::apply(const v1::Command& command) {
  clock_ms_ = std::max(clock_ms_, command.clock_ms());
  switch (command.command_case()) {
  case v1::Command::kApply:
    return applyChange(command.apply());
  case v1::Command::kDrainRunner:
    return drainRunner(command.drain_runner());
  case v1::Command::kLedgerBegin:
    return beginLedger(command.ledger_begin());
  case v1::Command::kLedgerFinish:
    return ledger_.finish(command.ledger_finish());
  case v1::Command::kLedgerAbort:
    return ledger_.abort(command.ledger_abort());
  case v1::Command::kRegisterRouter:
    registerRouter(command.register_router());
    break;
  case v1::Command::kDropRouters:
    dropRouters(command.drop_routers());
    break;
  case v1::Command::COMMAND_NOT_SET:
    break;
  }
  return Applied{};
}

v1::ApplyReply ReplicatedState::applyChange(const v1::ApplyRequest& request) {
  const uint64_t digest = digestOf(request);
  if (const v1::AppliedChange* change = findChange(request.request_id())) {
    return replyFor(*change, digest);
  }
  v1::AppliedChange change;
  change.set_request_id(request.request_id());
  change.set_digest(digest);
  if (request.expected_revision() != revision_) {
    change.set_conflict(true);
    change.set_winner_revision(revision_);
  } else {
    ++revision_;
    configuration_ = request.configuration();
    change.set_revision(revision_);
  }
  recordChange(change);
  return replyFor(change, digest);
}

v1::ApplyReply ReplicatedState::drainRunner(const v1::DrainRunnerRequest& request) {
  const uint64_t digest = digestOf(request);
  if (const v1::AppliedChange* change = findChange(request.request_id())) {
    return replyFor(*change, digest);
  }
  auto* runners = configuration_.mutable_runners();
  auto found = std::find_if(runners->begin(), runners->end(), [&](const auto& declaration) {
    return declaration.runner() == request.runner();
  });
  v1::RunnerDeclaration* declaration = found != runners->end() ? &*found : runners->Add();
  declaration->set_runner(request.runner());
  declaration->set_draining(request.draining());
  ++revision_;
  v1::AppliedChange change;
  change.set_request_id(request.request_id());
  change.set_digest(digest);
  change.set_revision(revision_);
  recordChange(change);
  return replyFor(change, digest);
}

v1::LedgerReply ReplicatedState::beginLedger(const v1::LedgerBeginRequest& request) {
  removeExpiredLedgerEntries();
  const v1::RouterEntry* router = findRouter(request.router());
  if (router == nullptr || router->incarnation() != request.incarnation()) {
    // If this router went away, nothing would set its entry to "unknown".
    v1::LedgerReply reply;
    reply.set_outcome(v1::LEDGER_REFUSED);
    return reply;
  }
  return ledger_.begin(request, clock_ms_);
}

void ReplicatedState::registerRouter(const v1::RouterEntry& router) {
  auto* routers = view_.mutable_routers();
  auto found = std::find_if(routers->begin(), routers->end(),
                            [&](const auto& entry) { return entry.name() == router.name(); });
  if (found == routers->end()) {
    *routers->Add() = router;
  } else {
    if (found->incarnation() != router.incarnation()) {
      // The router's process was restarted under the same name, so the previous incarnation is
      // gone.
      ledger_.markUnknown(found->name(), found->incarnation());
    }
    *found = router;
  }
  std::sort(routers->begin(), routers->end(),
            [](const auto& left, const auto& right) { return left.name() < right.name(); });
  view_.set_number(view_.number() + 1);
}

void ReplicatedState::dropRouters(const v1::DropRouters& drop) {
  std::vector<std::string> members;
  for (const v1::RouterEntry& entry : view_.routers()) {
    members.push_back(entry.name());
  }
  bool changed = false;
  auto* routers = view_.mutable_routers();
  for (const v1::RouterKey& key : drop.routers()) {
    auto found = std::find_if(routers->begin(), routers->end(), [&](const auto& entry) {
      return entry.name() == key.name() && entry.incarnation() == key.incarnation();
    });
    if (found != routers->end()) {
      routers->erase(found);
      ledger_.markUnknown(key.name(), key.incarnation());
      changed = true;
    }
  }
  if (!changed) {
    return;
  }
  view_.set_number(view_.number() + 1);
  if (!drop.departed()) {
    view_.mutable_previous_members()->Assign(members.begin(), members.end());
  }
}

const v1::RouterEntry* ReplicatedState::findRouter(const std::string& name) const {
  const auto found = std::find_if(view_.routers().begin(), view_.routers().end(),
                                  [&](const auto& entry) { return entry.name() == name; });
  return found == view_.routers().end() ? nullptr : &*found;
}

void ReplicatedState::recordChange(v1::AppliedChange change) {
  change_order_.push_back(change.request_id());
  changes_[change.request_id()] = std::move(change);
  if (change_order_.size() > kMaxRecordedChanges) {
    changes_.erase(change_order_.front());
    change_order_.pop_front();
  }
}

const v1::AppliedChange* ReplicatedState::findChange(const std::string& request_id) const {
  const auto found = changes_.find(request_id);
  return found == changes_.end() ? nullptr : &found->second;
}

void ReplicatedState::removeExpiredLedgerEntries() {
  const uint32_t configured = configuration_.ledger_retention_hours();
  const uint64_t hours = configured == 0 ? kDefaultLedgerRetentionHours : configured;
  const uint64_t retention_ms = hours * kMillisecondsPerHour;
  if (clock_ms_ > retention_ms) {
    ledger_.removeBefore(clock_ms_ - retention_ms);
  }
}

std::string ReplicatedState::save() const {
  v1::StateSnapshot snapshot;
  snapshot.set_revision(revision_);
  snapshot.set_clock_ms(clock_ms_);
  *snapshot.mutable_configuration() = configuration_;
  *snapshot.mutable_view() = view_;
  ledger_.save(snapshot);
  for (const std::string& request_id : change_order_) {
    *snapshot.add_changes() = changes_.at(request_id);
  }
  return snapshot.SerializeAsString();
}

bool ReplicatedState::restore(const std::string& bytes) {
  v1::StateSnapshot snapshot;
  if (!snapshot.ParseFromString(bytes)) {
    return false;
  }
  revision_ = snapshot.revision();
  clock_ms_ = snapshot.clock_ms();
  configuration_ = snapshot.configuration();
  view_ = snapshot.view();
  ledger_.restore(snapshot);
  changes_.clear();
  change_order_.clear();
  for (const v1::AppliedChange& change : snapshot.changes()) {
    recordChange(change);
  }
  return true;
}

} // namespace workshatch::control

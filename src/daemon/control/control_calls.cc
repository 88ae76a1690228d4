/// @file
/// Handlers of the calls that a control replica serves. They run on its event loop.
#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "adapters/logging/json_log.h"
#include "daemon/control/control_replica.h"

namespace workshatch::daemon {

template <typename Reply> Reply ControlReplica::notLeader() const {
  Reply reply;
  reply.set_not_leader(true);
  reply.set_leader_address(leaderAddress());
  return reply;
}

template v1::ApplyReply ControlReplica::notLeader<v1::ApplyReply>() const;

void ControlReplica::deliver(v1::RaftBatch batch) {
  post([this, batch = std::move(batch)] {
    for (const v1::RaftMessage& message : batch.messages()) {
      sender_addresses_[message.from()] = batch.sender_address();
      if (!node_->step(message)) {
        logging::write(logging::Severity::Error, "raft_message_ignored",
                       {{"from", message.from()},
                        {"type", v1::RaftMessageType_Name(message.type())},
                        {"term", message.term()}});
      }
    }
  });
}

void ControlReplica::hello(const v1::HelloRequest& /*request*/, CallCallback<v1::HelloReply> done) {
  post([this, reply = calls_.accept(std::move(done))] {
    v1::HelloReply answer;
    answer.set_id(id_);
    *answer.mutable_membership() = node_->membership();
    reply(std::move(answer));
  });
}

void ControlReplica::helloReplyReceived(const std::string& address, const v1::HelloReply& reply) {
  post([this, address, reply] {
    if (!ungrouped_ || reply.membership().members_size() != 0) {
      // Either this replica already belongs to a group or the group exists without it. In the
      // second case it must not form another group, but waits until it is added as a member.
      hello_ids_.clear();
      return;
    }
    hello_ids_[address] = reply.id();
    if (hello_ids_.size() + 1 == options_.initial_addresses.size()) {
      formGroup();
    }
  });
}

bool ControlReplica::ungrouped() const { return ungrouped_; }

void ControlReplica::renew(v1::RenewRequest request, CallCallback<v1::RenewReply> done) {
  post([this, request = std::move(request), reply = calls_.accept(std::move(done))] {
    handleRenew(request, reply);
  });
}

void ControlReplica::handleRenew(const v1::RenewRequest& request,
                                 const ReplyCallback<v1::RenewReply>& reply) {
  if (!router_manager_ || !node_->committedInTerm() || !node_->hasLeaderLease()) {
    reply(notLeader<v1::RenewReply>());
    return;
  }
  control::RouterManager::Renewal renewal =
      router_manager_->renew(request, state_, clock_.monotonicMs());
  if (renewal.command) {
    propose(std::move(*renewal.command), [](const ProposalOutcome&) {});
  }
  reply(std::move(renewal.reply));
}

void ControlReplica::propose(v1::Command command, ProposalCallback done) {
  post([this, command = std::move(command), done = std::move(done)]() mutable {
    const uint64_t proposal = next_context_++ ^ (id_ << 20U);
    command.set_proposal(proposal);
    command.set_clock_ms(clock_.wallMs());
    if (!node_->propose(command.SerializeAsString())) {
      done(NotLeader{leaderAddress()});
      return;
    }
    proposals_[proposal] = std::move(done);
  });
}

void ControlReplica::proposeLedgerChange(v1::Command command, CallCallback<ProposalOutcome> done) {
  propose(std::move(command), calls_.accept(std::move(done)));
}

void ControlReplica::apply(v1::ApplyRequest request, CallCallback<v1::ApplyReply> done) {
  v1::Command command;
  *command.mutable_apply() = std::move(request);
  proposeChange(std::move(command), calls_.accept(std::move(done)));
}

void ControlReplica::drainRunner(v1::DrainRunnerRequest request,
                                 CallCallback<v1::ApplyReply> done) {
  v1::Command command;
  *command.mutable_drain_runner() = std::move(request);
  proposeChange(std::move(command), calls_.accept(std::move(done)));
}

/// Proposes a change of the configuration. Answers once the change is in force on all routers, was
/// rejected, or has waited for `accept_wait_ms`.
void ControlReplica::proposeChange(v1::Command command, ReplyCallback<v1::ApplyReply> reply) {
  propose(std::move(command), [this, reply = std::move(reply)](const ProposalOutcome& outcome) {
    awaitAccept(outcome, reply);
  });
}

void ControlReplica::awaitAccept(const ProposalOutcome& outcome,
                                 const ReplyCallback<v1::ApplyReply>& reply) {
  if (std::holds_alternative<NotLeader>(outcome)) {
    reply(notLeader<v1::ApplyReply>());
    return;
  }
  const auto& answer = std::get<v1::ApplyReply>(std::get<control::CommandResult>(outcome));
  logging::write(logging::Severity::Info, "change_committed",
                 {{"state", v1::ApplyState_Name(answer.state())},
                  {"revision", answer.revision()},
                  {"term", node_->term()}});
  if (answer.state() != v1::APPLY_PENDING) {
    reply(answer);
    return;
  }
  pending_accepts_.push_back(
      PendingAccept{.revision = answer.revision(),
                    .until_ms = clock_.monotonicMs() + options_.accept_wait_ms,
                    .reply = reply});
}

void ControlReplica::depart(v1::RouterKey router, CallCallback<v1::DepartReply> done) {
  v1::Command command;
  command.mutable_drop_routers()->set_departed(true);
  *command.mutable_drop_routers()->add_routers() = std::move(router);
  propose(std::move(command),
          [this, reply = calls_.accept(std::move(done))](const ProposalOutcome& outcome) {
            if (std::holds_alternative<NotLeader>(outcome)) {
              reply(notLeader<v1::DepartReply>());
              return;
            }
            v1::DepartReply answer;
            answer.set_done(true);
            reply(std::move(answer));
          });
}

void ControlReplica::confirmRead(std::function<void(bool confirmed)> done) {
  const uint64_t context = next_context_++;
  reads_[context] = std::move(done);
  node_->requestRead(context);
}

void ControlReplica::get(CallCallback<v1::GetReply> done) {
  post([this, reply = calls_.accept(std::move(done))] {
    confirmRead([this, reply](bool confirmed) {
      if (!confirmed) {
        reply(notLeader<v1::GetReply>());
        return;
      }
      v1::GetReply answer;
      answer.set_revision(state_.revision());
      *answer.mutable_configuration() = state_.configuration();
      reply(std::move(answer));
    });
  });
}

void ControlReplica::status(CallCallback<v1::StatusReply> done) {
  post([this, reply = calls_.accept(std::move(done))] {
    confirmRead([this, reply](bool confirmed) {
      if (!confirmed || !router_manager_) {
        reply(notLeader<v1::StatusReply>());
        return;
      }
      const int64_t now = clock_.monotonicMs();
      v1::StatusReply answer;
      answer.set_id(id_);
      answer.set_term(node_->term());
      answer.set_commit_index(node_->commitIndex());
      answer.set_revision(state_.revision());
      answer.set_view_number(state_.view().number());
      answer.set_settled_view(router_manager_->leases().settledView(state_.view()));
      answer.set_ledger_entries(state_.ledgerEntries());
      for (const v1::RouterEntry& router : state_.view().routers()) {
        *answer.add_routers() = router_manager_->leases().status(router, now);
      }
      const v1::RaftMembership membership = node_->membership();
      for (const v1::RaftMember& member : membership.members()) {
        v1::MemberStatus* status = answer.add_members();
        *status->mutable_member() = member;
        status->set_match_index(node_->matchIndex(member.id()));
      }
      reply(std::move(answer));
    });
  });
}

void ControlReplica::replaceReplica(v1::ReplaceReplicaRequest request,
                                    CallCallback<v1::ReplaceReplicaReply> done) {
  post([this, request = std::move(request), reply = calls_.accept(std::move(done))] {
    if (!router_manager_ || !node_->committedInTerm()) {
      reply(notLeader<v1::ReplaceReplicaReply>());
      return;
    }
    reply(advanceReplacement(request));
  });
}

/// Takes one step towards the requested membership: adds the new replica as a learner, waits until
/// it has caught up, removes the old member, makes the new one a voter. The operator's tool repeats
/// the call until the replacement is done.
v1::ReplaceReplicaReply
ControlReplica::advanceReplacement(const v1::ReplaceReplicaRequest& request) {
  v1::ReplaceReplicaReply reply;
  v1::RaftMembership membership = node_->membership();
  auto* members = membership.mutable_members();
  const auto find = [&](uint64_t id) {
    return std::find_if(members->begin(), members->end(),
                        [id](const v1::RaftMember& member) { return member.id() == id; });
  };
  const auto added = find(request.new_id());
  if (added == members->end() && find(request.old_id()) == members->end()) {
    // Adding a replica without removing one would enlarge the quorum.
    reply.set_error("no member has the identity given as old_id");
    return reply;
  }
  if (added == members->end()) {
    v1::RaftMember* member = members->Add();
    member->set_id(request.new_id());
    member->set_address(request.new_address());
    member->set_learner(true);
    reply.set_progress("adding the new replica as a learner");
  } else if (added->learner() && node_->matchIndex(request.new_id()) < node_->commitIndex()) {
    reply.set_progress("the new replica is catching up");
    return reply;
  } else if (const auto old = find(request.old_id()); old != members->end()) {
    members->erase(old);
    reply.set_progress("removing the old replica");
  } else if (added->learner()) {
    added->set_learner(false);
    reply.set_progress("making the new replica a voter");
  } else {
    const bool caught_up =
        node_->membershipCommitted() && node_->matchIndex(request.new_id()) >= node_->commitIndex();
    reply.set_done(caught_up);
    reply.set_progress(caught_up ? "done" : "waiting for the new voter");
    return reply;
  }
  if (!node_->proposeMembership(membership)) {
    reply.set_progress("an earlier membership change is in progress");
  }
  return reply;
}

} // namespace workshatch::daemon

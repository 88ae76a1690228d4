/// @file
/// Scenario commands that make operator calls.
#include <algorithm>
#include <fstream>
#include <thread>

#include "adapters/system_clock.h"
#include "scenario/command_options.h"
#include "scenario/scenario_run.h"

namespace workshatch::scenario {

ScenarioRun::Outcome ScenarioRun::applyOnce(const v1::ApplyRequest& request,
                                            const std::string& expected) {
  const auto result = operatorClient(kOperatorTimeoutMs)->apply(request);
  if (isError(result)) {
    return errorOf(result);
  }
  const auto& reply = std::get<v1::ApplyReply>(result);
  const std::string state = reply.state() == v1::APPLY_ACCEPTED   ? "accepted"
                            : reply.state() == v1::APPLY_PENDING  ? "pending"
                            : reply.state() == v1::APPLY_CONFLICT ? "conflict"
                                                                  : "other";
  if (state == "accepted") {
    accepted_.push_back(AcceptedChange{.revision = reply.revision(),
                                       .at_ms = static_cast<int64_t>(SystemClock().wallMs())});
  }
  if (state != expected) {
    return Error{"expected " + expected + ", got " + state + " at revision " +
                 std::to_string(reply.revision())};
  }
  return kDone;
}

/// Applies `count` changes in sequence, each based on the current revision.
ScenarioRun::Outcome ScenarioRun::runApply(const Command& command) {
  const std::string expected = textOption(command, "expect", "accepted");
  const uint32_t count = numberOption(command, "count", 1);
  for (uint32_t i = 0; i < count; ++i) {
    v1::ApplyRequest request;
    *request.mutable_configuration() = fleet_->configuration(++variant_);
    request.set_request_id("apply-" + std::to_string(variant_));
    const auto current = operatorClient(kOperatorTimeoutMs)->get();
    if (isError(current)) {
      return errorOf(current);
    }
    request.set_expected_revision(std::get<v1::GetReply>(current).revision());
    if (const Outcome outcome = applyOnce(request, expected); isError(outcome)) {
      return outcome;
    }
  }
  return kDone;
}

/// Starts operator calls to all control replicas, which go on until the scenario ends.
ScenarioRun::Outcome ScenarioRun::runPress(const Command& command) {
  operator_load_ = std::make_unique<OperatorLoad>(fleet_->controlAddresses(), Fleet::kOperatorToken,
                                                  numberOption(command, "operators", 24));
  return kDone;
}

/// `expect all-told`: every call made by `press` must get a response or fail before its
/// deadline.
ScenarioRun::Outcome ScenarioRun::expectNoCallTimedOut() {
  if (!operator_load_) {
    return Error{"press must come first"};
  }
  const OperatorCallCounts counts = operator_load_->counts();
  measurements_ += ", operators: " + std::to_string(counts.answered) + " answered, " +
                   std::to_string(counts.refused) + " turned away, longest pause " +
                   std::to_string(counts.longest_gap_ms) + " ms";
  if (counts.timed_out_calls > 0 || counts.answered == 0) {
    return Error{std::to_string(counts.timed_out_calls) +
                 " operator calls reached their deadline, " + std::to_string(counts.answered) +
                 " answered"};
  }
  return kDone;
}

/// Operators apply different changes concurrently, all based on the same revision: exactly one must
/// be accepted, the others must conflict. Each operator then sends its change again, with
/// `kill=leader` after the leader was killed, and must get the same reply as before.
ScenarioRun::Outcome ScenarioRun::runRace(const Command& command) {
  const uint32_t operators = numberOption(command, "operators", 4);
  const auto current = operatorClient(kOperatorTimeoutMs)->get();
  if (isError(current)) {
    return errorOf(current);
  }
  std::vector<v1::ApplyRequest> requests(operators);
  for (v1::ApplyRequest& request : requests) {
    *request.mutable_configuration() = fleet_->configuration(++variant_);
    request.set_request_id("race-" + std::to_string(variant_));
    request.set_expected_revision(std::get<v1::GetReply>(current).revision());
  }
  const auto round = [&]() -> Result<std::vector<v1::ApplyReply>> {
    std::vector<Result<v1::ApplyReply>> results(operators, Error{"not sent"});
    std::vector<std::thread> threads;
    for (uint32_t i = 0; i < operators; ++i) {
      threads.emplace_back(
          [&, i] { results[i] = operatorClient(kOperatorTimeoutMs)->apply(requests[i]); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    std::vector<v1::ApplyReply> replies;
    for (const auto& result : results) {
      if (isError(result)) {
        return errorOf(result);
      }
      replies.push_back(std::get<v1::ApplyReply>(result));
    }
    return replies;
  };
  const auto first = round();
  if (isError(first)) {
    return errorOf(first);
  }
  const auto& first_replies = std::get<std::vector<v1::ApplyReply>>(first);
  const auto winners =
      std::count_if(first_replies.begin(), first_replies.end(),
                    [](const auto& reply) { return reply.state() == v1::APPLY_ACCEPTED; });
  const auto losers =
      std::count_if(first_replies.begin(), first_replies.end(),
                    [](const auto& reply) { return reply.state() == v1::APPLY_CONFLICT; });
  if (winners != 1 || losers + 1 != static_cast<int64_t>(operators)) {
    return Error{"expected one accepted change and conflicts for the others, got " +
                 std::to_string(winners) + " accepted and " + std::to_string(losers) +
                 " conflicts"};
  }
  if (textOption(command, "kill", "") == "leader") {
    Command kill{.line = command.line, .name = "kill", .arguments = {"leader"}, .options = {}};
    if (const Outcome killed = runKill(kill); isError(killed)) {
      return killed;
    }
  }
  const auto second = round();
  if (isError(second)) {
    return errorOf(second);
  }
  const auto& resent = std::get<std::vector<v1::ApplyReply>>(second);
  for (uint32_t i = 0; i < operators; ++i) {
    const bool same = resent[i].state() == first_replies[i].state() &&
                      resent[i].revision() == first_replies[i].revision();
    if (!same) {
      return Error{"a resent change got another reply than before: " +
                   v1::ApplyState_Name(first_replies[i].state()) + " became " +
                   v1::ApplyState_Name(resent[i].state())};
    }
  }
  return kDone;
}

ScenarioRun::Outcome ScenarioRun::runDrain(const Command& command) {
  if (command.arguments.size() != 1) {
    return Error{"expected a runner"};
  }
  v1::DrainRunnerRequest request;
  request.set_runner(command.arguments[0]);
  request.set_draining(textOption(command, "undo", "no") != "yes");
  request.set_request_id("drain-" + std::to_string(++variant_));
  const auto reply = operatorClient(kOperatorTimeoutMs)->drainRunner(request);
  return isError(reply) ? Outcome(errorOf(reply)) : Outcome(kDone);
}

/// Replaces a control replica whose data folder was wiped, and waits until the new replica
/// votes.
ScenarioRun::Outcome ScenarioRun::runReplace(const Command& command) {
  if (command.arguments.size() != 1) {
    return Error{"expected a daemon"};
  }
  const std::string& name = command.arguments[0];
  v1::ReplaceReplicaRequest request;
  request.set_old_id(replica_ids_[name]);
  const Outcome identified = waitFor("an identity in its new data folder", [&] {
    std::ifstream in(fleet_->dataFolder(name) + "/identity");
    uint64_t id = 0;
    in >> id;
    request.set_new_id(id);
    return id != 0;
  });
  if (isError(identified)) {
    return identified;
  }
  const uint32_t number = static_cast<uint32_t>(std::stoul(name.substr(name.rfind('-') + 1)));
  request.set_new_address(fleet_->controlAddresses()[number - 1]);
  std::string error;
  const Outcome replaced = waitFor("the replacement", [&] {
    const auto reply = operatorClient(kStatusTimeoutMs)->replaceReplica(request);
    if (isError(reply)) {
      return false;
    }
    error = std::get<v1::ReplaceReplicaReply>(reply).error();
    return !error.empty() || std::get<v1::ReplaceReplicaReply>(reply).done();
  });
  return error.empty() ? replaced : Outcome(Error{error});
}

} // namespace workshatch::scenario

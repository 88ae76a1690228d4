#include "daemon/group/rollout_api.h"

#include <set>
#include <utility>

#include "adapters/logging/line_log.h"
#include "core/relay/group_state.h"

namespace workshatch::daemon {

namespace {

/// Time after the planned end of a rollout in which the same call counts as a repetition. Operators
/// repeat a call whose response was lost for a few seconds; a later call requests a new rollout.
constexpr uint64_t kRepeatWindowMs = 15'000;

RolloutState stateOf(const v1::Rollout& rollout) {
  if (relay::isInProgress(rollout)) {
    return RolloutState::Running;
  }
  return rollout.phase() == v1::ROLLOUT_SUCCEEDED ? RolloutState::Succeeded
                                                  : RolloutState::RolledBack;
}

http::Response rolloutInProgressResponse(const v1::Rollout& rollout) {
  return makeRefusal(http::Status::conflict, "under_way",
                     "a rollout of \"" + rollout.service() + "\" to \"" + rollout.target_version() +
                         "\" is under way");
}

} // namespace

std::vector<std::string> RolloutApi::versionsOf(const std::string& service) const {
  std::set<std::string> versions;
  for (const v1::RunnerEntry& runner : runners_().runners()) {
    if (runner.service() == service) {
      versions.insert(runner.version());
    }
  }
  return {versions.begin(), versions.end()};
}

http::awaitable<void> RolloutApi::handle(http::Exchange& exchange, RolloutCall call) {
  if (call.begin) {
    co_await begin(exchange);
  } else {
    co_await sendRolloutStatus(exchange, std::move(call.service));
  }
}

std::optional<http::Response>
RolloutApi::responseWithoutOrder(const RolloutRequest& request,
                                 const std::vector<std::string>& versions) const {
  const v1::Rollout* existing = replica_.findRollout(request.service);
  if (existing != nullptr && relay::isInProgress(*existing)) {
    return rolloutInProgressResponse(*existing);
  }
  const bool repeated =
      existing != nullptr && existing->target_version() == request.target_version &&
      clock_.wallMs() < existing->ordered_ms() + existing->duration_ms() + kRepeatWindowMs;
  if (repeated) {
    return responseTo(StoreOutcome::Stored);
  }
  if (runners_().version() == 0) {
    return makeRefusal(http::Status::service_unavailable, "no_runner_list",
                       "this replica has just begun to lead");
  }
  if (versions.empty()) {
    return makeRefusal(http::Status::bad_request, "no_service",
                       "no service \"" + request.service + "\" has runners");
  }
  const bool in_force = versions.size() == 1 && versions.front() == request.target_version;
  if (in_force) {
    return makeRefusal(http::Status::bad_request, "same_version",
                       "all runners of \"" + request.service + "\" have version \"" +
                           request.target_version + "\"");
  }
  return std::nullopt;
}

http::awaitable<void> RolloutApi::begin(http::Exchange& exchange) {
  const auto decoded = dialect_.parseRolloutRequest(exchange.request().body());
  if (isError(decoded)) {
    line_log::write("rollout_refused", {{"error", errorOf(decoded).message}});
    http::Response refusal =
        makeRefusal(http::Status::bad_request, "invalid", errorOf(decoded).message);
    co_await exchange.respond(std::move(refusal));
    co_return;
  }
  if (!replica_.leads()) {
    http::Response redirect = calls_.redirectToLeader(exchange);
    co_await exchange.respond(std::move(redirect));
    co_return;
  }
  const RolloutRequest& request = std::get<RolloutRequest>(decoded);
  const std::vector<std::string> versions = versionsOf(request.service);
  if (auto answer = responseWithoutOrder(request, versions)) {
    line_log::write("rollout_not_ordered", {{"service", request.service},
                                            {"target_version", request.target_version},
                                            {"status", answer->result_int()}});
    co_await exchange.respond(std::move(*answer));
    co_return;
  }
  v1::Rollout rollout;
  rollout.set_service(request.service);
  rollout.set_target_version(request.target_version);
  rollout.set_duration_ms(request.duration_ms);
  rollout.set_ordered_ms(clock_.wallMs());
  for (const std::string& version : versions) {
    if (version != request.target_version) {
      rollout.add_former_versions(version);
    }
  }
  http::Response response = co_await order(std::move(rollout));
  co_await exchange.respond(std::move(response));
}

http::awaitable<http::Response> RolloutApi::order(v1::Rollout rollout) {
  v1::GroupCommand command;
  *command.mutable_rollout() = rollout;
  const CallOutcome<StoreOutcome> outcome = co_await calls_.awaitOutcome(
      [&](GroupReplica::StoreCallback done) { replica_.order(command, std::move(done)); });
  line_log::write("rollout_ordered", {{"service", rollout.service()},
                                      {"target_version", rollout.target_version()},
                                      {"duration_ms", rollout.duration_ms()},
                                      {"former_versions", rollout.former_versions_size()},
                                      {"stored", isStored(outcome)},
                                      {"version", replica_.rollouts().version()}});
  const v1::Rollout* existing = replica_.findRollout(rollout.service());
  const bool other = existing != nullptr && existing->target_version() != rollout.target_version();
  // The rollout of a concurrent call was committed first.
  co_return isStored(outcome) && other ? rolloutInProgressResponse(*existing) : responseTo(outcome);
}

http::Response RolloutApi::rolloutResponse(const std::string& service) const {
  const v1::Rollout* rollout = replica_.findRollout(service);
  if (rollout == nullptr) {
    return makeRefusal(http::Status::not_found, "no_rollout",
                       "\"" + service + "\" never had a rollout");
  }
  return http::makeResponse(
      http::Status::ok, "application/json",
      dialect_.rolloutStatusBody(stateOf(*rollout), rollout->target_version()));
}

http::awaitable<void> RolloutApi::sendRolloutStatus(http::Exchange& exchange, std::string service) {
  if (!replica_.leads()) {
    http::Response redirect = calls_.redirectToLeader(exchange);
    co_await exchange.respond(std::move(redirect));
    co_return;
  }
  // A named variable, because GCC 12 destroys temporaries in a co_await expression twice.
  const LeaderCalls::ReadResponder answer = [this, service](const v1::StoredConfiguration&) {
    return rolloutResponse(service);
  };
  http::Response response = co_await calls_.read(answer);
  co_await exchange.respond(std::move(response));
}

} // namespace workshatch::daemon

#include "daemon/group/rollout_api.h"

#include <set>
#include <utility>

#include "adapters/logging/line_log.h"
#include "core/relay/group_state.h"

namespace workshatch::daemon {

namespace {

/// Operators send a call whose answer was lost again for some seconds; what comes later is meant as
/// another rollout.
constexpr uint64_t kSentAgainMs = 15'000;

RolloutState stateOf(const v1::Rollout& rollout) {
  if (relay::isUnderWay(rollout)) {
    return RolloutState::Running;
  }
  return rollout.phase() == v1::ROLLOUT_SUCCEEDED ? RolloutState::Succeeded
                                                  : RolloutState::RolledBack;
}

http::Response underWay(const v1::Rollout& rollout) {
  return refuseCall(http::Status::conflict, "under_way",
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
    co_await tell(exchange, std::move(call.service));
  }
}

std::optional<http::Response>
RolloutApi::answerWithoutOrder(const RolloutWish& wish,
                               const std::vector<std::string>& versions) const {
  const v1::Rollout* held = replica_.rolloutOf(wish.service);
  if (held != nullptr && relay::isUnderWay(*held)) {
    return underWay(*held);
  }
  const bool sent_again = held != nullptr && held->target_version() == wish.target_version &&
                          clock_.wallMs() < held->ordered_ms() + held->duration_ms() + kSentAgainMs;
  if (sent_again) {
    return answerTo(StoreOutcome::Stored);
  }
  if (runners_().version() == 0) {
    return refuseCall(http::Status::service_unavailable, "no_runner_list",
                      "this replica has just begun to lead");
  }
  if (versions.empty()) {
    return refuseCall(http::Status::bad_request, "no_service",
                      "no service \"" + wish.service + "\" has runners");
  }
  const bool in_force = versions.size() == 1 && versions.front() == wish.target_version;
  if (in_force) {
    return refuseCall(http::Status::bad_request, "same_version",
                      "all runners of \"" + wish.service + "\" have version \"" +
                          wish.target_version + "\"");
  }
  return std::nullopt;
}

http::awaitable<void> RolloutApi::begin(http::Exchange& exchange) {
  const auto decoded = dialect_.rolloutWish(exchange.request().body());
  if (isError(decoded)) {
    line_log::write("rollout_refused", {{"error", errorOf(decoded).message}});
    http::Response refusal =
        refuseCall(http::Status::bad_request, "invalid", errorOf(decoded).message);
    co_await exchange.respond(std::move(refusal));
    co_return;
  }
  if (!replica_.leads()) {
    http::Response redirect = calls_.elsewhere(exchange);
    co_await exchange.respond(std::move(redirect));
    co_return;
  }
  const RolloutWish& wish = std::get<RolloutWish>(decoded);
  const std::vector<std::string> versions = versionsOf(wish.service);
  if (auto answer = answerWithoutOrder(wish, versions)) {
    line_log::write("rollout_not_ordered", {{"service", wish.service},
                                            {"target_version", wish.target_version},
                                            {"status", answer->result_int()}});
    co_await exchange.respond(std::move(*answer));
    co_return;
  }
  v1::Rollout rollout;
  rollout.set_service(wish.service);
  rollout.set_target_version(wish.target_version);
  rollout.set_duration_ms(wish.duration_ms);
  rollout.set_ordered_ms(clock_.wallMs());
  for (const std::string& version : versions) {
    if (version != wish.target_version) {
      rollout.add_former_versions(version);
    }
  }
  http::Response response = co_await order(std::move(rollout));
  co_await exchange.respond(std::move(response));
}

http::awaitable<http::Response> RolloutApi::order(v1::Rollout rollout) {
  v1::GroupCommand command;
  *command.mutable_rollout() = rollout;
  const CallOutcome<StoreOutcome> outcome = co_await calls_.outcomeOf(
      [&](GroupReplica::StoreCallback done) { replica_.order(command, std::move(done)); });
  line_log::write("rollout_ordered", {{"service", rollout.service()},
                                      {"target_version", rollout.target_version()},
                                      {"duration_ms", rollout.duration_ms()},
                                      {"former_versions", rollout.former_versions_size()},
                                      {"stored", isStored(outcome)},
                                      {"version", replica_.rollouts().version()}});
  const v1::Rollout* held = replica_.rolloutOf(rollout.service());
  const bool other = held != nullptr && held->target_version() != rollout.target_version();
  // Another call's order was committed just before this one.
  co_return isStored(outcome) && other ? underWay(*held) : answerTo(outcome);
}

http::Response RolloutApi::answerToRead(const std::string& service) const {
  const v1::Rollout* rollout = replica_.rolloutOf(service);
  if (rollout == nullptr) {
    return refuseCall(http::Status::not_found, "no_rollout",
                      "\"" + service + "\" never had a rollout");
  }
  return http::makeResponse(http::Status::ok, "application/json",
                            dialect_.rolloutAnswer(stateOf(*rollout), rollout->target_version()));
}

http::awaitable<void> RolloutApi::tell(http::Exchange& exchange, std::string service) {
  if (!replica_.leads()) {
    http::Response redirect = calls_.elsewhere(exchange);
    co_await exchange.respond(std::move(redirect));
    co_return;
  }
  // Named, since GCC 12 destroys a temporary of a co_await expression twice.
  const LeaderCalls::ReadAnswer answer = [this, service](const v1::StoredConfiguration&) {
    return answerToRead(service);
  };
  http::Response response = co_await calls_.read(answer);
  co_await exchange.respond(std::move(response));
}

} // namespace workshatch::daemon

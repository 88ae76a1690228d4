#include "daemon/group/operator_api.h"

#include <optional>
#include <utility>

#include "adapters/logging/line_log.h"
#include "daemon/configuration_transfer.h"

namespace workshatch::daemon {

namespace {

http::Response configurationResponse(const v1::StoredConfiguration& stored) {
  if (stored.version() == 0) {
    return notConfirmedResponse();
  }
  auto document = unpackConfiguration(stored);
  if (isError(document)) {
    line_log::write("configuration_unreadable", {{"error", errorOf(document).message}});
    return notConfirmedResponse();
  }
  return http::makeResponse(http::Status::ok, "application/json",
                            std::move(std::get<std::string>(document)));
}

} // namespace

http::awaitable<void> OperatorApi::handle(http::Exchange& exchange) {
  const http::Verb method = exchange.request().method();
  const bool is_put = exchange.path() == dialect_.paths().put_configuration;
  const bool is_get = exchange.path() == dialect_.paths().get_configuration;
  const auto evacuation = dialect_.parseEvacuationCall(exchange.path());
  const auto rollout = dialect_.parseRolloutCall(exchange.path());
  if (is_put && method == http::Verb::post) {
    co_await put(exchange);
  } else if (is_get && method == http::Verb::get) {
    co_await get(exchange);
  } else if (evacuation && method == http::Verb::post) {
    co_await evacuate(exchange, *evacuation);
  } else if (rollout && method == (rollout->begin ? http::Verb::post : http::Verb::get)) {
    co_await rollouts_.handle(exchange, *rollout);
  } else if (is_put || is_get || evacuation || rollout) {
    http::Response refusal =
        makeRefusal(http::Status::method_not_allowed, "method", "wrong method");
    const bool reads = is_get || (rollout && !rollout->begin);
    refusal.set(http::Field::allow, reads ? "GET" : "POST");
    co_await exchange.respond(std::move(refusal));
  } else {
    http::Response refusal = makeRefusal(http::Status::not_found, "no_call", "no such call");
    co_await exchange.respond(std::move(refusal));
  }
}

http::awaitable<void> OperatorApi::put(http::Exchange& exchange) {
  const std::string& document = exchange.request().body();
  const auto decoded = codec_.decode(document);
  std::optional<Error> fault;
  if (isError(decoded)) {
    fault = errorOf(decoded);
  } else {
    fault = relay::findConfigurationError(std::get<relay::Configuration>(decoded));
  }
  if (fault) {
    line_log::write("configuration_refused", {{"error", fault->message}});
    http::Response refusal = makeRefusal(http::Status::bad_request, "invalid", fault->message);
    co_await exchange.respond(std::move(refusal));
    co_return;
  }
  if (!replica_.leads()) {
    http::Response redirect = calls_.redirectToLeader(exchange);
    co_await exchange.respond(std::move(redirect));
    co_return;
  }
  const uint64_t version = std::get<relay::Configuration>(decoded).version;
  const CallOutcome<StoreOutcome> outcome =
      co_await calls_.awaitOutcome([&](GroupReplica::StoreCallback done) {
        replica_.store(packConfiguration(version, document), std::move(done));
      });
  line_log::write(
      "configuration_put",
      {{"version", version}, {"stored", isStored(outcome)}, {"held", replica_.stored().version()}});
  http::Response response = responseTo(outcome);
  co_await exchange.respond(std::move(response));
}

http::awaitable<void> OperatorApi::evacuate(http::Exchange& exchange, EvacuationCall call) {
  if (!zone_exists_(call.zone)) {
    line_log::write("evacuation_refused", {{"zone", call.zone}, {"error", "no such zone"}});
    http::Response refusal =
        makeRefusal(http::Status::not_found, "no_zone", "there is no zone \"" + call.zone + "\"");
    co_await exchange.respond(std::move(refusal));
    co_return;
  }
  if (!replica_.leads()) {
    http::Response redirect = calls_.redirectToLeader(exchange);
    co_await exchange.respond(std::move(redirect));
    co_return;
  }
  v1::GroupCommand command;
  v1::EvacuationOrder& order = *command.mutable_evacuation();
  order.set_zone(call.zone);
  order.set_begin(call.begin);
  order.set_ordered_ms(clock_.wallMs());
  const CallOutcome<StoreOutcome> outcome = co_await calls_.awaitOutcome(
      [&](GroupReplica::StoreCallback done) { replica_.order(command, std::move(done)); });
  line_log::write("evacuation_ordered", {{"zone", call.zone},
                                         {"begin", call.begin},
                                         {"stored", isStored(outcome)},
                                         {"version", replica_.evacuations().version()}});
  http::Response response = responseTo(outcome);
  co_await exchange.respond(std::move(response));
}

http::awaitable<void> OperatorApi::get(http::Exchange& exchange) {
  if (!replica_.leads()) {
    http::Response redirect = calls_.redirectToLeader(exchange);
    co_await exchange.respond(std::move(redirect));
    co_return;
  }
  const LeaderCalls::ReadResponder answer = configurationResponse;
  http::Response response = co_await calls_.read(answer);
  co_await exchange.respond(std::move(response));
}

} // namespace workshatch::daemon

#include "daemon/group/operator_api.h"

#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "adapters/http/problem.h"
#include "adapters/logging/line_log.h"
#include "daemon/configuration_transfer.h"

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kStoreLimit{3000};
constexpr std::chrono::milliseconds kReadLimit{2000};
constexpr uint32_t kRetryAfterMs = 200;

/// A value that a callback sets and a coroutine waits for, up to a limit.
template <typename Value> class Waiter {
public:
  explicit Waiter(asio::io_context& context) : timer_(context) {}

  void set(Value value) {
    if (!value_) {
      value_ = std::move(value);
      timer_.cancel();
    }
  }

  http::awaitable<std::optional<Value>> wait(std::chrono::milliseconds limit) {
    if (!value_) {
      timer_.expires_after(limit);
      co_await timer_.async_wait(kAwait);
    }
    co_return value_;
  }

private:
  asio::steady_timer timer_;
  std::optional<Value> value_;
};

http::Response problem(http::Status status, std::string code, std::string detail) {
  const bool again = status == http::Status::service_unavailable;
  return http::makeProblem(http::Problem{.status = status,
                                         .code = std::move(code),
                                         .detail = std::move(detail),
                                         .retry_after_ms = again ? kRetryAfterMs : 0});
}

bool isStored(const CallOutcome<StoreOutcome>& outcome) {
  const auto* store = std::get_if<StoreOutcome>(&outcome);
  return store != nullptr && *store == StoreOutcome::Stored;
}

http::Response notConfirmed() {
  return problem(http::Status::service_unavailable, "not_confirmed", "no majority confirmed it");
}

http::Response replicaEnds() {
  return problem(http::Status::service_unavailable, "replica_ends", "this replica ends");
}

http::Response answerTo(const CallOutcome<StoreOutcome>& outcome) {
  if (isStored(outcome)) {
    return http::makeResponse(http::Status::ok, "application/json", "{}");
  }
  return std::holds_alternative<Unavailable>(outcome) ? replicaEnds() : notConfirmed();
}

/// Made while the configuration that was read is held.
http::Response answerToRead(const CallOutcome<const v1::StoredConfiguration*>& read) {
  if (std::holds_alternative<Unavailable>(read)) {
    return replicaEnds();
  }
  const v1::StoredConfiguration* stored = std::get<const v1::StoredConfiguration*>(read);
  if (stored == nullptr || stored->version() == 0) {
    return notConfirmed();
  }
  auto document = documentOf(*stored);
  if (isError(document)) {
    line_log::write("configuration_unreadable", {{"error", errorOf(document).message}});
    return notConfirmed();
  }
  return http::makeResponse(http::Status::ok, "application/json",
                            std::move(std::get<std::string>(document)));
}

} // namespace

http::awaitable<void> OperatorApi::handle(http::Exchange& exchange) {
  const http::Verb method = exchange.request().method();
  const bool is_put = exchange.path() == dialect_.paths().put_configuration;
  const bool is_get = exchange.path() == dialect_.paths().get_configuration;
  const auto evacuation = dialect_.evacuationCall(exchange.path());
  if (is_put && method == http::Verb::post) {
    co_await put(exchange);
  } else if (is_get && method == http::Verb::get) {
    co_await get(exchange);
  } else if (evacuation && method == http::Verb::post) {
    co_await evacuate(exchange, *evacuation);
  } else if (is_put || is_get || evacuation) {
    http::Response refusal = problem(http::Status::method_not_allowed, "method", "wrong method");
    refusal.set(http::Field::allow, is_get ? "GET" : "POST");
    co_await exchange.respond(std::move(refusal));
  } else {
    http::Response refusal = problem(http::Status::not_found, "no_call", "no such call");
    co_await exchange.respond(std::move(refusal));
  }
}

http::Response OperatorApi::elsewhere(const http::Exchange& exchange) const {
  const std::string leader = replica_.leaderAddress();
  const size_t colon = leader.rfind(':');
  if (colon == std::string::npos) {
    return problem(http::Status::service_unavailable, "no_leader", "no leader is known");
  }
  http::Response response =
      problem(http::Status::temporary_redirect, "not_leader", "this replica does not lead");
  const std::string location =
      "http://" + leader.substr(0, colon) + ":" + port_ + std::string(exchange.target());
  response.set(http::Field::location, location);
  return response;
}

http::awaitable<CallOutcome<StoreOutcome>>
OperatorApi::outcomeOf(std::function<void(GroupReplica::StoreCallback)> propose) {
  using Outcome = CallOutcome<StoreOutcome>;
  const auto waiter = std::make_shared<Waiter<Outcome>>(context_);
  propose([waiter](const Outcome& outcome) { waiter->set(outcome); });
  const std::optional<Outcome> outcome = co_await waiter->wait(kStoreLimit);
  co_return outcome.value_or(StoreOutcome::NotLeader);
}

http::awaitable<void> OperatorApi::put(http::Exchange& exchange) {
  const std::string& document = exchange.request().body();
  const auto decoded = codec_.decode(document);
  std::optional<Error> fault;
  if (isError(decoded)) {
    fault = errorOf(decoded);
  } else {
    fault = relay::findFault(std::get<relay::Configuration>(decoded));
  }
  if (fault) {
    line_log::write("configuration_refused", {{"error", fault->message}});
    http::Response refusal = problem(http::Status::bad_request, "invalid", fault->message);
    co_await exchange.respond(std::move(refusal));
    co_return;
  }
  if (!replica_.leads()) {
    http::Response redirect = elsewhere(exchange);
    co_await exchange.respond(std::move(redirect));
    co_return;
  }
  const uint64_t version = std::get<relay::Configuration>(decoded).version;
  const CallOutcome<StoreOutcome> outcome =
      co_await outcomeOf([&](GroupReplica::StoreCallback done) {
        replica_.store(packConfiguration(version, document), std::move(done));
      });
  line_log::write(
      "configuration_put",
      {{"version", version}, {"stored", isStored(outcome)}, {"held", replica_.stored().version()}});
  http::Response response = answerTo(outcome);
  co_await exchange.respond(std::move(response));
}

http::awaitable<void> OperatorApi::evacuate(http::Exchange& exchange, EvacuationCall call) {
  if (!zone_exists_(call.zone)) {
    line_log::write("evacuation_refused", {{"zone", call.zone}, {"error", "no such zone"}});
    http::Response refusal =
        problem(http::Status::not_found, "no_zone", "there is no zone \"" + call.zone + "\"");
    co_await exchange.respond(std::move(refusal));
    co_return;
  }
  if (!replica_.leads()) {
    http::Response redirect = elsewhere(exchange);
    co_await exchange.respond(std::move(redirect));
    co_return;
  }
  v1::GroupCommand command;
  v1::EvacuationOrder& order = *command.mutable_evacuation();
  order.set_zone(call.zone);
  order.set_begin(call.begin);
  order.set_ordered_ms(clock_.wallMs());
  const CallOutcome<StoreOutcome> outcome = co_await outcomeOf(
      [&](GroupReplica::StoreCallback done) { replica_.order(command, std::move(done)); });
  line_log::write("evacuation_ordered", {{"zone", call.zone},
                                         {"begin", call.begin},
                                         {"stored", isStored(outcome)},
                                         {"version", replica_.evacuations().version()}});
  http::Response response = answerTo(outcome);
  co_await exchange.respond(std::move(response));
}

http::awaitable<void> OperatorApi::get(http::Exchange& exchange) {
  if (!replica_.leads()) {
    http::Response redirect = elsewhere(exchange);
    co_await exchange.respond(std::move(redirect));
    co_return;
  }
  using Read = CallOutcome<const v1::StoredConfiguration*>;
  const auto waiter = std::make_shared<Waiter<http::Response>>(context_);
  replica_.read([waiter](const Read& read) { waiter->set(answerToRead(read)); });
  std::optional<http::Response> answer = co_await waiter->wait(kReadLimit);
  http::Response response = answer ? std::move(*answer) : notConfirmed();
  co_await exchange.respond(std::move(response));
}

} // namespace workshatch::daemon

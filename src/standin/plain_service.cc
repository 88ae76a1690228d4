#include "standin/plain_service.h"

#include <nlohmann/json.hpp>

#include "adapters/http/problem.h"

namespace workshatch::standin {

using nlohmann::json;

http::awaitable<void> PlainService::handle(http::Exchange& exchange) {
  const std::string path(exchange.path());
  if (path == "/fault") {
    const json members = json::parse(exchange.request().body(), nullptr, false);
    if (members.is_object()) {
      faults_.set(members);
    }
    http::Response response =
        http::makeResponse(http::Status::ok, "application/json", "{\"set\":true}");
    co_await exchange.respond(std::move(response));
  } else if (path == "/v1/runs") {
    http::Response response = runs_.toResponse();
    co_await exchange.respond(std::move(response));
  } else if (path == "/v1/load") {
    co_await faults_.applyDelay();
    const json report = {{"runner", name_}, {"leaving", faults_.leaving}};
    http::Response response =
        http::makeResponse(http::Status::ok, "application/json", report.dump());
    co_await exchange.respond(std::move(response));
  } else {
    co_await handleRequest(exchange);
  }
}

http::awaitable<void> PlainService::handleRequest(http::Exchange& exchange) {
  if (faults_.refuse) {
    http::Response response = http::makeProblem(http::Problem{
        .status = http::Status::service_unavailable, .code = "runner", .detail = "refusing work"});
    co_await exchange.respond(std::move(response));
    co_return;
  }
  const std::string id = http::fieldOf(exchange.request(), "X-Request-Id").value_or("unnamed");
  const std::string key = http::fieldOf(exchange.request(), "Idempotency-Key").value_or("");
  const uint64_t run = runs_.recordRun(id, key);
  const uint64_t number = ++run_count_;
  co_await faults_.applyDelay();
  if (faults_.consumeCut(0)) {
    exchange.abort();
    co_return;
  }
  const json body = {{"service", name_},
                     {"key", key},
                     {"run", run},
                     {"receipt", name_ + "-" + std::to_string(number)},
                     {"target", std::string(exchange.target())}};
  http::Response response = http::makeResponse(http::Status::ok, "application/json", body.dump());
  co_await exchange.respond(std::move(response));
}

} // namespace workshatch::standin

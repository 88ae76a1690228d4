#include "standin/platform.h"

#include <utility>

#include "adapters/http/problem.h"
#include "adapters/system_clock.h"

namespace workshatch::standin {

using nlohmann::json;

namespace {

constexpr int64_t kMillisecondsPerSecond = 1000;
constexpr std::string_view kMachinePathPrefix = "/v1/machines/";

http::Response ok(const json& body) {
  return http::makeResponse(http::Status::ok, "application/json", body.dump());
}

} // namespace

Platform::Platform(json machines, int64_t lag_ms, uint32_t weights_per_second)
    : lag_ms_(lag_ms), weights_per_second_(weights_per_second) {
  versions_.push_back(Version{.at_ms = 0, .machines = std::move(machines)});
}

const json& Platform::visibleMachines(int64_t now_ms) {
  while (versions_.size() > 1 && versions_[1].at_ms <= now_ms - lag_ms_) {
    versions_.pop_front();
  }
  return versions_.front().machines;
}

http::awaitable<void> Platform::handle(http::Exchange& exchange) {
  const std::string path(exchange.path());
  if (path == "/v1/machines") {
    const json reply = {{"machines", visibleMachines(SystemClock().monotonicMs())}};
    http::Response response = ok(reply);
    co_await exchange.respond(std::move(response));
  } else if (path.starts_with(kMachinePathPrefix)) {
    co_await changeMachine(exchange, path.substr(kMachinePathPrefix.size()));
  } else if (path == "/lag") {
    const json body = json::parse(exchange.request().body(), nullptr, false);
    lag_ms_ = body.is_object() ? body.value("lag_ms", lag_ms_) : lag_ms_;
    const json reply = {{"lag_ms", lag_ms_}};
    http::Response response = ok(reply);
    co_await exchange.respond(std::move(response));
  } else if (path.starts_with("/v1/weights/")) {
    co_await serveWeights(exchange);
  } else {
    http::Response response = http::makeProblem(http::Problem{
        .status = http::Status::not_found, .code = "platform", .detail = "no such path"});
    co_await exchange.respond(std::move(response));
  }
}

http::awaitable<void> Platform::changeMachine(http::Exchange& exchange, const std::string& runner) {
  json machines = json::array();
  json changed = {{"runner", runner}};
  for (const json& machine : versions_.back().machines) {
    if (machine.value("runner", "") == runner) {
      changed = machine;
    } else {
      machines.push_back(machine);
    }
  }
  if (exchange.request().method() == http::Verb::put) {
    const json body = json::parse(exchange.request().body(), nullptr, false);
    if (body.is_object()) {
      changed.update(body);
    }
    machines.push_back(changed);
  }
  versions_.push_back(
      Version{.at_ms = SystemClock().monotonicMs(), .machines = std::move(machines)});
  const json reply = {{"machines", versions_.back().machines}};
  http::Response response = ok(reply);
  co_await exchange.respond(std::move(response));
}

http::awaitable<void> Platform::serveWeights(http::Exchange& exchange) {
  const int64_t second = SystemClock().monotonicMs() / kMillisecondsPerSecond;
  if (std::exchange(rate_window_s_, second) != second) {
    served_in_window_ = 0;
  }
  if (served_in_window_ >= weights_per_second_) {
    http::Response response =
        http::makeProblem(http::Problem{.status = http::Status::too_many_requests,
                                        .code = "platform",
                                        .detail = "weight store rate is reached",
                                        .retry_after_ms = kMillisecondsPerSecond});
    co_await exchange.respond(std::move(response));
    co_return;
  }
  ++served_in_window_;
  const json reply = {{"weights", std::string(exchange.path())}};
  http::Response response = ok(reply);
  co_await exchange.respond(std::move(response));
}

} // namespace workshatch::standin

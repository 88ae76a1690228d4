#include "daemon/group/redirect_role.h"

#include <chrono>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "adapters/detached_task.h"
#include "adapters/http/problem.h"
#include "adapters/logging/line_log.h"
#include "daemon/server_limits.h"

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr uint32_t kRetryAfterMs = 200;
/// Maximum time to finish responses when the process stops.
constexpr std::chrono::milliseconds kAnswerTimeout{200};
constexpr std::chrono::milliseconds kAnswerPoll{5};

} // namespace

RedirectRole::RedirectRole(settings::RelaySettings settings, WorkerPool& workers)
    : settings_(std::move(settings)), context_(workers.context(0)), stop_timer_(context_),
      operator_server_(
          workers, operatorLimits(), [this](http::Exchange& exchange) { return handle(exchange); },
          refuseBadRequest),
      log_flusher_(workers.context(0)) {
  operator_server_.limitBodies(operatorBodies(settings_.memory_bytes));
}

Result<std::monostate> RedirectRole::start() {
  auto serving = operator_server_.listen(settings_.operator_address);
  if (isError(serving)) {
    return errorOf(serving);
  }
  line_log::write("operators_redirected", {{"seeds", settings_.seeds}});
  log_flusher_.start();
  return std::monostate{};
}

std::string RedirectRole::nextSeed() {
  for (size_t tried = 0; tried < settings_.seeds.size(); ++tried) {
    const std::string& seed = settings_.seeds[next_seed_++ % settings_.seeds.size()];
    if (seed != settings_.operator_address) {
      return seed;
    }
  }
  return "";
}

http::awaitable<void> RedirectRole::handle(http::Exchange& exchange) {
  const std::string seed = nextSeed();
  http::Response response;
  if (seed.empty()) {
    response = http::makeProblem(http::Problem{.status = http::Status::service_unavailable,
                                               .code = "no_replica",
                                               .detail = "no replica is known",
                                               .retry_after_ms = kRetryAfterMs});
  } else {
    response = http::makeProblem(http::Problem{.status = http::Status::temporary_redirect,
                                               .code = "not_a_replica",
                                               .detail = "this machine holds no replica"});
    response.set(http::Field::location, "http://" + seed + std::string(exchange.target()));
  }
  co_await exchange.respond(std::move(response));
}

void RedirectRole::reload(const settings::RelaySettings& settings) {
  settings_.seeds = settings.seeds;
}

void RedirectRole::stop(std::function<void()> stopped) {
  operator_server_.stopAccepting();
  operator_server_.closeIdle();
  detached_task::spawnEssential(context_.get_executor(), "stop", finish(std::move(stopped)));
}

/// Waits until the calls that have arrived are answered, or until the limit.
http::awaitable<void> RedirectRole::finish(std::function<void()> stopped) {
  const auto until = std::chrono::steady_clock::now() + kAnswerTimeout;
  do {
    stop_timer_.expires_after(kAnswerPoll);
    co_await stop_timer_.async_wait(kAwait);
  } while (operator_server_.requestsInProgress() + operator_server_.connectionsClosing() > 0 &&
           std::chrono::steady_clock::now() < until);
  stopped();
}

} // namespace workshatch::daemon

#include "daemon/group/redirect_role.h"

#include <chrono>
#include <utility>

#include "adapters/http/problem.h"
#include "adapters/logging/line_log.h"

namespace workshatch::daemon {

namespace {

constexpr std::chrono::milliseconds kLogPeriod{50};
constexpr uint32_t kOperatorBodyBytes = 16U * 1024 * 1024;
constexpr uint32_t kRetryAfterMs = 200;

http::ServerLimits operatorLimits() {
  http::ServerLimits limits;
  limits.body_bytes = kOperatorBodyBytes;
  return limits;
}

http::Response refuseOperator(http::Status status, const std::string& reason) {
  return http::makeProblem(
      http::Problem{.status = status, .code = "bad_request", .detail = reason});
}

} // namespace

RedirectRole::RedirectRole(settings::RelaySettings settings, WorkerPool& workers)
    : settings_(std::move(settings)),
      operator_server_(
          workers, operatorLimits(), [this](http::Exchange& exchange) { return handle(exchange); },
          refuseOperator),
      log_timer_(workers.context(0)) {}

Result<std::monostate> RedirectRole::start() {
  auto serving = operator_server_.listen(settings_.operator_address);
  if (isError(serving)) {
    return errorOf(serving);
  }
  line_log::write("operators_redirected", {{"seeds", settings_.seeds}});
  flushLog();
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

void RedirectRole::flushLog() {
  line_log::flush();
  log_timer_.expires_after(kLogPeriod);
  log_timer_.async_wait([this](boost::system::error_code failure) {
    if (!failure) {
      flushLog();
    }
  });
}

void RedirectRole::reload(const settings::RelaySettings& settings) {
  settings_.seeds = settings.seeds;
}

void RedirectRole::stop(std::function<void()> stopped) {
  operator_server_.stopAccepting();
  stopped();
}

} // namespace workshatch::daemon

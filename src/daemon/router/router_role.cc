#include "daemon/router/router_role.h"

#include <chrono>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "adapters/logging/json_log.h"

namespace workshatch::daemon {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kTickPeriod{20};
constexpr std::chrono::milliseconds kRunnerPollPeriod{1000};
/// Period of closing expired connections. Short compared with the keep-alive time of 3 s that
/// applies if a server states none.
constexpr std::chrono::milliseconds kIdleCheckPeriod{500};
constexpr int64_t kRenewTimeoutMs = 1000;
/// Pause after a renewal that brought a change, before the renewal that reports the change as in
/// force.
constexpr std::chrono::milliseconds kReportRenewPause{20};
/// Pause after a failed renewal while there is no lease or a change is not reported yet.
constexpr std::chrono::milliseconds kRenewRetryPause{100};
constexpr int64_t kDepartTimeoutMs = 1000;
/// Limit on the wait for the hand-off of ownership, in case control cannot be reached.
constexpr std::chrono::milliseconds kHandOffTimeout{5000};
constexpr std::chrono::milliseconds kDrainPoll{20};
constexpr std::chrono::milliseconds kPollTimeout{1000};
constexpr size_t kMaxResponseBytes = 16U << 20U;

http::ServerLimits limitsOf(const v1::RouterSettings& settings) {
  http::ServerLimits limits;
  limits.header_bytes = settings.max_header_bytes();
  limits.body_bytes = settings.max_body_bytes();
  limits.connections = settings.max_connections();
  limits.idle_timeout = std::chrono::milliseconds(settings.idle_timeout_ms());
  limits.read_timeout = std::chrono::milliseconds(settings.read_timeout_ms());
  return limits;
}

routing::HoldDownOptions holdDownOf(const v1::RouterSettings& settings) {
  routing::HoldDownOptions options;
  options.initial_ms = settings.hold_down_ms();
  return options;
}

http::CallOptions pollCallOptions() {
  http::CallOptions options;
  options.connect_timeout = kPollTimeout;
  options.read_timeout = kPollTimeout;
  return options;
}

asio::awaitable<void> pauseFor(std::chrono::milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

std::vector<routing::ListedRunner> parseMachineList(const json& list) {
  std::vector<routing::ListedRunner> runners;
  for (const json& machine : list.value("machines", json::array())) {
    routing::ListedRunner runner;
    runner.runner = machine.value("runner", "");
    runner.address = machine.value("address", "");
    runner.service = machine.value("service", "");
    runner.zone = machine.value("zone", "");
    runner.engines = machine.value("engines", 1U);
    runner.leaving = machine.value("state", "live") != "live";
    if (!runner.runner.empty() && http::parseEndpoint(runner.address)) {
      runners.push_back(std::move(runner));
    }
  }
  return runners;
}

} // namespace

RouterRole::RouterRole(const v1::Settings& settings, uint64_t incarnation, WorkerPool& workers,
                       const Clock& clock)
    : settings_(settings), incarnation_(incarnation), workers_(workers), clock_(clock),
      addresses_(settings), tables_(settings.name(), clock, holdDownOf(settings.router())),
      socket_(workers.context(0), settings.router().peer_key(), addresses_, settings.name(),
              incarnation),
      permits_(settings.name(), incarnation, tables_, socket_, clock, stats_,
               settings.router().permit_timeout_ms()),
      selector_(tables_, permits_, clock, stats_),
      control_({settings.control_addresses().begin(), settings.control_addresses().end()},
               settings.control_key(), addresses_),
      handler_(
          RequestHandler::Dependencies{.settings = settings_,
                                       .incarnation = incarnation_,
                                       .tables = tables_,
                                       .permits = permits_,
                                       .selector = selector_,
                                       .control = control_,
                                       .stats = stats_,
                                       .clock = clock_,
                                       .workers = workers_,
                                       .network_metrics = [this] { return networkMetrics(); }}),
      server_(
          workers, limitsOf(settings.router()),
          [this](http::Exchange& exchange) { return handler_.handle(exchange); },
          [this](http::Status status, const std::string& reason) {
            return handler_.makeRefusal(status, reason);
          }),
      client_(workers.context(0), clock) {}

Result<std::monostate> RouterRole::start() {
  const auto opened =
      socket_.open(settings_.router().peer_address(),
                   [this](const v1::PeerDatagram& datagram) { permits_.receive(datagram); });
  if (isError(opened)) {
    return errorOf(opened);
  }
  const auto listening = server_.listen(settings_.router().http_address());
  if (isError(listening)) {
    return errorOf(listening);
  }
  asio::io_context& worker = workers_.context(0);
  asio::co_spawn(worker, renewLoop(), asio::detached);
  asio::co_spawn(worker, platformLoop(), asio::detached);
  asio::co_spawn(worker, runnerLoop(), asio::detached);
  asio::co_spawn(worker, tickLoop(), asio::detached);
  asio::co_spawn(worker, idleConnectionLoop(), asio::detached);
  return std::monostate{};
}

v1::RouterEntry RouterRole::routerEntry() const {
  v1::RouterEntry entry;
  entry.set_name(settings_.name());
  entry.set_incarnation(incarnation_);
  entry.set_zone(settings_.zone());
  entry.set_http_address(settings_.router().http_address());
  entry.set_peer_address(settings_.router().peer_address());
  entry.set_state(draining_ ? v1::ROUTER_DRAINING : v1::ROUTER_ACTIVE);
  return entry;
}

asio::awaitable<void> RouterRole::renewLoop() {
  while (!stopped_) {
    const bool renewed = co_await renewOnce();
    co_await pauseFor(renewPause(renewed));
  }
}

std::chrono::milliseconds RouterRole::renewPause(bool renewed) const {
  const std::chrono::milliseconds period(settings_.router().renew_period_ms());
  const serving::ServingSnapshot serving_snapshot = tables_.snapshot();
  const bool has_unreported_change = reported_revision_ != serving_snapshot.revision ||
                                     reported_view_ != serving_snapshot.view->number() ||
                                     !tables_.mayServe();
  if (!has_unreported_change) {
    return period;
  }
  return std::min(period, renewed ? kReportRenewPause : kRenewRetryPause);
}

asio::awaitable<bool> RouterRole::renewOnce() {
  if (departed_) {
    co_return true;
  }
  const serving::ServingSnapshot before = tables_.snapshot();
  v1::RenewRequest request;
  *request.mutable_router() = routerEntry();
  request.set_revision_in_force(before.revision);
  const uint64_t reported_view = tables_.reportedView();
  request.set_view_in_force(reported_view);
  request.set_answer_age_ms(tables_.renewalAnswerAgeMs());
  const std::vector<v1::PoolLoad> loads = tables_.withPermitTable(
      [](admission::PermitTable& permit_table) { return permit_table.reportLoads(); });
  for (const v1::PoolLoad& load : loads) {
    *request.add_loads() = load;
  }
  const int64_t sent_ms = clock_.monotonicMs();
  auto result = co_await control_.renew(std::move(request), kRenewTimeoutMs);
  if (isError(result) || !tables_.applyRenewal(std::get<v1::RenewReply>(result), sent_ms)) {
    ++stats_.lease_failures_total;
    co_return false;
  }
  ++stats_.lease_renewals_total;
  reported_revision_ = before.revision;
  reported_view_ = reported_view;
  const serving::ServingSnapshot after = tables_.snapshot();
  if (after.revision != before.revision) {
    handler_.configure(*after.configuration);
    logging::write(logging::Severity::Info, "configuration_in_force",
                   {{"revision", after.revision}, {"before", before.revision}});
  }
  if (after.view->number() != before.view->number()) {
    logging::write(logging::Severity::Info, "view_in_force",
                   {{"view", after.view->number()}, {"routers", after.view->routers_size()}});
  }
  co_return true;
}

asio::awaitable<void> RouterRole::platformLoop() {
  while (!stopped_) {
    co_await readMachineList();
    co_await pauseFor(std::chrono::milliseconds(settings_.router().platform_period_ms()));
  }
}

asio::awaitable<void> RouterRole::readMachineList() {
  http::Request request(http::Verb::get, "/v1/machines", 11);
  auto result = co_await client_.call(settings_.router().platform_address(), std::move(request),
                                      pollCallOptions());
  if (auto* response = std::get_if<std::unique_ptr<http::ClientResponse>>(&result)) {
    auto body = co_await (*response)->readAll(kMaxResponseBytes);
    if (const auto* text = std::get_if<std::string>(&body)) {
      const json list = json::parse(*text, nullptr, false);
      if ((*response)->status() == http::Status::ok && list.is_object()) {
        tables_.setListed(parseMachineList(list));
        co_return;
      }
    }
  }
  // The last list that was read stays in use.
  ++stats_.platform_failures_total;
}

asio::awaitable<void> RouterRole::runnerLoop() {
  while (!stopped_) {
    co_await pauseFor(kRunnerPollPeriod);
    // Only the owner of a runner's first engine polls the runner, so that the number of polls does
    // not grow with the number of routers.
    for (const routing::EngineInfo& engine : tables_.ownedEngines()) {
      if (engine.number == 0) {
        asio::co_spawn(workers_.context(0), readRunnerReport(engine), asio::detached);
      }
    }
  }
}

asio::awaitable<void> RouterRole::readRunnerReport(routing::EngineInfo engine) {
  http::Request request(http::Verb::get, "/v1/load", 11);
  auto result = co_await client_.call(engine.address, std::move(request), pollCallOptions());
  auto* response = std::get_if<std::unique_ptr<http::ClientResponse>>(&result);
  if (response == nullptr) {
    co_return;
  }
  auto body = co_await (*response)->readAll(kMaxResponseBytes);
  if (const auto* text = std::get_if<std::string>(&body)) {
    const json report = json::parse(*text, nullptr, false);
    if (report.is_object()) {
      tables_.setRunnerLeaving(engine.runner, report.value("leaving", false));
    }
  }
}

asio::awaitable<void> RouterRole::tickLoop() {
  while (!stopped_) {
    permits_.tick();
    co_await pauseFor(kTickPeriod);
  }
}

asio::awaitable<void> RouterRole::idleConnectionLoop() {
  while (!stopped_) {
    co_await pauseFor(kIdleCheckPeriod);
    client_.closeExpiredConnections();
    handler_.closeExpiredConnections();
  }
}

std::string RouterRole::networkMetrics() const {
  const http::ServerStats& server = server_.stats();
  const datagram::PeerStats& peers = socket_.stats();
  std::string text;
  text += metrics::exposeGauge("open_connections", "connections of callers",
                               server.open_connections.load());
  text += metrics::exposeGauge("refused_connections", "connections over max_connections",
                               server.refused_connections.load());
  text += metrics::exposeGauge("bad_requests", "requests that were not valid or too slow",
                               server.bad_requests.load());
  text += metrics::exposeGauge("peer_sent_bytes", "bytes of datagrams sent to routers",
                               peers.sent_bytes.load());
  text += metrics::exposeGauge("peer_received_bytes", "bytes of datagrams received of routers",
                               peers.received_bytes.load());
  text += metrics::exposeGauge("peer_dropped", "datagrams with a wrong code or unreadable",
                               peers.dropped.load());
  return text;
}

bool RouterRole::ownershipHandedOff() const {
  const serving::ServingSnapshot serving_snapshot = tables_.snapshot();
  for (const v1::RouterEntry& router : serving_snapshot.view->routers()) {
    if (router.name() == settings_.name()) {
      return router.state() == v1::ROUTER_DRAINING &&
             serving_snapshot.settled_view >= serving_snapshot.view->number();
    }
  }
  return true;
}

void RouterRole::drain() {
  logging::write(logging::Severity::Info, "drain_started",
                 {{"in_progress", server_.requestsInProgress()}});
  draining_ = true;
  handler_.setDraining();
  const auto wait_until = [](std::chrono::milliseconds limit, const auto& done) {
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(kDrainPoll);
    }
  };
  wait_until(kHandOffTimeout, [this] { return ownershipHandedOff(); });
  // Callers may use an endpoint list with this address until the list's time to live has passed.
  std::this_thread::sleep_for(std::chrono::milliseconds(settings_.router().endpoints_ttl_ms()));
  server_.stopAccepting();
  logging::write(logging::Severity::Info, "drain_waiting",
                 {{"in_progress", server_.requestsInProgress()}});
  const std::chrono::milliseconds longest(settings_.router().deadline_ms());
  wait_until(longest, [this] { return server_.requestsInProgress() == 0; });
  asio::co_spawn(workers_.context(0), departOnce(), asio::detached);
  wait_until(std::chrono::milliseconds(2 * kDepartTimeoutMs), [this] { return departed_.load(); });
  stopped_ = true;
  logging::write(logging::Severity::Info, "drain_finished",
                 {{"in_progress", server_.requestsInProgress()}});
}

asio::awaitable<void> RouterRole::departOnce() {
  v1::DepartRequest request;
  request.mutable_router()->set_name(settings_.name());
  request.mutable_router()->set_incarnation(incarnation_);
  co_await control_.depart(std::move(request), kDepartTimeoutMs);
  departed_ = true;
}

} // namespace workshatch::daemon

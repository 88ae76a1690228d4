#include "daemon/router/request_handler.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <nlohmann/json.hpp>

#include "adapters/metrics/text_format.h"
#include "core/routing/engine_owner.h"
#include "core/routing/rendezvous.h"
#include "daemon/router/allowed_methods.h"
#include "daemon/router/chat_request.h"

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

constexpr uint32_t kRetryAfterMs = 1000;
constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr size_t kMaxIdempotencyKeyBytes = 255;
constexpr size_t kMaxEndpoints = 16;

std::string newRequestId() {
  thread_local std::mt19937_64 engine{std::random_device{}()};
  char text[33];
  std::snprintf(text, sizeof(text), "%016llx%016llx", static_cast<unsigned long long>(engine()),
                static_cast<unsigned long long>(engine()));
  return text;
}

const v1::Service* findService(const v1::Configuration& configuration, const std::string& name) {
  const auto found = std::find_if(configuration.services().begin(), configuration.services().end(),
                                  [&](const auto& service) { return service.name() == name; });
  return found == configuration.services().end() ? nullptr : &*found;
}

/// @return the route of the service with the longest prefix that matches `path`, or null.
const v1::Route* findRoute(const v1::Configuration& configuration, const std::string& service,
                           std::string_view path) {
  const v1::Route* best = nullptr;
  for (const v1::Route& route : configuration.routes()) {
    const bool matches = route.service() == service && path.starts_with(route.path_prefix());
    if (matches && (best == nullptr || route.path_prefix().size() > best->path_prefix().size())) {
      best = &route;
    }
  }
  return best;
}

/// @return whether the router is in the last view that was in force on every router, or no such
/// view exists yet. A router that has just registered may not have a lease yet.
bool isInSettledView(const serving::ServingSnapshot& serving_snapshot,
                     const v1::RouterEntry& router) {
  if (serving_snapshot.settled == nullptr) {
    return true;
  }
  const auto& routers = serving_snapshot.settled->routers();
  return std::any_of(routers.begin(), routers.end(), [&](const v1::RouterEntry& settled) {
    return settled.name() == router.name() && settled.incarnation() == router.incarnation();
  });
}

/// Releases an admitted request of a tenant at the end of its scope, also if its handler throws.
/// Otherwise the request would count towards the tenant's limit for as long as the process runs.
class AdmittedRequest {
public:
  /// @param mutex guards `limiter`; both must outlive the object
  AdmittedRequest(std::mutex& mutex, limits::TenantLimiter& limiter, std::string tenant)
      : mutex_(mutex), limiter_(limiter), tenant_(std::move(tenant)) {}
  ~AdmittedRequest() {
    const std::lock_guard lock(mutex_);
    limiter_.release(tenant_);
  }
  AdmittedRequest(const AdmittedRequest&) = delete;
  AdmittedRequest& operator=(const AdmittedRequest&) = delete;

private:
  std::mutex& mutex_;
  limits::TenantLimiter& limiter_;
  const std::string tenant_;
};

http::Problem badRequest(std::string detail) {
  return http::Problem{
      .status = http::Status::bad_request, .code = "bad-request", .detail = std::move(detail)};
}

} // namespace

RequestHandler::RequestHandler(Dependencies dependencies) : dependencies_(std::move(dependencies)) {
  for (size_t i = 0; i < dependencies_.workers.size(); ++i) {
    asio::io_context& worker = dependencies_.workers.context(i);
    clients_[&worker] = std::make_unique<http::Client>(worker, dependencies_.clock);
  }
}

void RequestHandler::configure(const v1::Configuration& configuration) {
  const std::lock_guard lock(limiter_mutex_);
  limiter_.configure(configuration);
}

void RequestHandler::closeExpiredConnections() {
  for (size_t i = 0; i < dependencies_.workers.size(); ++i) {
    asio::io_context& worker = dependencies_.workers.context(i);
    asio::post(worker, [&client = clientOf(worker)] { client.closeExpiredConnections(); });
  }
}

http::Response RequestHandler::makeRefusal(http::Status status, const std::string& reason) const {
  http::Problem problem;
  problem.status = status;
  problem.code =
      status == http::Status::service_unavailable ? "too-many-connections" : "bad-request";
  problem.detail = reason;
  problem.retry_after_ms = status == http::Status::service_unavailable ? kRetryAfterMs : 0;
  return http::makeProblem(problem);
}

asio::awaitable<void> RequestHandler::handle(http::Exchange& exchange) {
  const std::string_view path = exchange.path();
  const bool proxied = path == kChatPath || path.starts_with(kServicesPrefix);
  if (draining_) {
    exchange.closeAfterResponse();
  }
  const std::string_view allowed = allowedMethods(path);
  if (!allowed.empty() && !methodAllowed(allowed, exchange.request().method())) {
    http::Response refusal = http::makeProblem(
        http::Problem{.status = http::Status::method_not_allowed,
                      .code = "method-not-allowed",
                      .detail = "allowed for this path: " + std::string(allowed)});
    refusal.set(http::Field::allow, std::string(allowed));
    co_await exchange.respond(std::move(refusal));
  } else if (proxied) {
    co_await serveProxiedRequest(exchange);
  } else if (path == "/v1/endpoints") {
    co_await serveEndpoints(exchange);
  } else if (path == "/healthz") {
    http::Response response = http::makeResponse(http::Status::ok, "text/plain", "ok\n");
    co_await exchange.respond(std::move(response));
  } else if (path == "/readyz") {
    co_await serveReady(exchange);
  } else if (path == "/metrics") {
    co_await serveMetrics(exchange);
  } else {
    RequestContext context;
    http::Problem refusal = http::Problem{.status = http::Status::not_found,
                                          .code = "not-found",
                                          .detail = "no such path: " + std::string(path)};
    co_await sendProblem(exchange, context, std::move(refusal));
  }
}

asio::awaitable<void> RequestHandler::sendProblem(http::Exchange& exchange,
                                                  const RequestContext& context,
                                                  http::Problem problem) {
  problem.request_id = context.id;
  problem.execution = context.maybe_sent ? http::Execution::Unknown : http::Execution::NotRun;
  ++(context.maybe_sent ? dependencies_.stats.answers_unknown_total
                        : dependencies_.stats.answers_not_run_total);
  logOutcome(context, "", problem.execution, static_cast<unsigned>(problem.status));
  http::Response response = http::makeProblem(problem);
  co_await exchange.respond(std::move(response));
}

bool RequestHandler::admitTenant(const RequestContext& context, http::Problem& problem) {
  const std::lock_guard lock(limiter_mutex_);
  const limits::LimitVerdict verdict =
      limiter_.admit(context.tenant, dependencies_.clock.monotonicMs());
  switch (verdict) {
  case limits::LimitVerdict::Admitted:
    return true;
  case limits::LimitVerdict::UnknownTenant:
    problem = http::Problem{.status = http::Status::forbidden,
                            .code = "unknown-tenant",
                            .detail = "header X-Tenant: tenant \"" + context.tenant +
                                      "\" is not declared"};
    return false;
  default:
    ++dependencies_.stats.limited_total;
    problem = http::Problem{.status = http::Status::too_many_requests,
                            .code = "tenant-limit",
                            .detail = verdict == limits::LimitVerdict::TooManyInFlight
                                          ? "the tenant's max_in_flight is reached"
                                          : "the tenant's requests_per_second is reached",
                            .retry_after_ms = limiter_.retryAfterMs(context.tenant)};
    return false;
  }
}

asio::awaitable<void> RequestHandler::serveProxiedRequest(http::Exchange& exchange) {
  ++dependencies_.stats.requests_total;
  RequestContext context;
  context.started = std::chrono::steady_clock::now();
  context.started_ms = dependencies_.clock.monotonicMs();
  context.id = http::fieldOf(exchange.request(), "X-Request-Id").value_or(newRequestId());
  // A caller that resumes a stream has received events, so the request may have run even if it is
  // refused now.
  context.maybe_sent = resumesStream(exchange.request());
  context.serving_snapshot = dependencies_.tables.snapshot();
  if (!dependencies_.tables.mayServe()) {
    ++dependencies_.stats.not_serving_total;
    http::Problem refusal =
        http::Problem{.status = http::Status::service_unavailable,
                      .code = "no-lease",
                      .detail = "this router has no serving lease; ask another address",
                      .retry_after_ms = kRetryAfterMs,
                      .addresses = otherRouterAddresses(*context.serving_snapshot.view)};
    co_await sendProblem(exchange, context, std::move(refusal));
    co_return;
  }
  const auto tenant = http::fieldOf(exchange.request(), "X-Tenant");
  if (!tenant) {
    http::Problem refusal = badRequest("header X-Tenant: expected a tenant's name");
    co_await sendProblem(exchange, context, std::move(refusal));
    co_return;
  }
  context.tenant = *tenant;
  http::Problem limited;
  if (!admitTenant(context, limited)) {
    co_await sendProblem(exchange, context, std::move(limited));
    co_return;
  }
  const AdmittedRequest admitted(limiter_mutex_, limiter_, context.tenant);
  if (exchange.path() == kChatPath) {
    co_await serveChat(exchange, context);
  } else {
    co_await serveService(exchange, context);
  }
}

asio::awaitable<void> RequestHandler::serveChat(http::Exchange& exchange, RequestContext& context) {
  if (exchange.request().method() != http::Verb::post) {
    http::Problem refusal = http::Problem{.status = http::Status::method_not_allowed,
                                          .code = "bad-request",
                                          .detail = "expected POST"};
    co_await sendProblem(exchange, context, std::move(refusal));
    co_return;
  }
  auto parsed = parseChatRequest(exchange.request());
  if (const auto* fault = std::get_if<BadRequest>(&parsed)) {
    http::Problem refusal = badRequest(fault->detail);
    co_await sendProblem(exchange, context, std::move(refusal));
    co_return;
  }
  ChatRequest& request = std::get<ChatRequest>(parsed);
  context.service = request.body.at("model").get<std::string>();
  const v1::Service* service =
      findService(*context.serving_snapshot.configuration, context.service);
  if (service == nullptr || service->kind() != "model") {
    http::Problem refusal =
        http::Problem{.status = http::Status::not_found,
                      .code = "unknown-service",
                      .detail = "/model: no model service \"" + context.service + "\" is declared"};
    co_await sendProblem(exchange, context, std::move(refusal));
    co_return;
  }
  const v1::Route* route =
      findRoute(*context.serving_snapshot.configuration, context.service, kChatPath);
  const uint32_t deadline_ms = route != nullptr && route->deadline_ms() != 0
                                   ? route->deadline_ms()
                                   : dependencies_.settings.router().deadline_ms();
  context.deadline_ms = context.started_ms + deadline_ms;
  context.priority = route == nullptr ? 0 : route->priority();
  context.session = routing::fingerprintOf(context.tenant + "\n" + request.session_name);
  context.cost = service->load_unit() == "tokens" ? tokenCost(request.body) : 1;
  http::Client& client = clientOf((co_await asio::this_coro::executor).context());
  ChatRun run(exchange, context, std::move(request), dependencies_.selector, dependencies_.tables,
              client, dependencies_.stats, dependencies_.clock);
  co_await run.run();
}

asio::awaitable<void> RequestHandler::serveService(http::Exchange& exchange,
                                                   RequestContext& context) {
  const std::string_view rest = exchange.target().substr(kServicesPrefix.size());
  const size_t name_end = std::min(rest.find_first_of("/?"), rest.size());
  context.service = rest.substr(0, name_end);
  const v1::Service* service =
      findService(*context.serving_snapshot.configuration, context.service);
  if (service == nullptr || service->kind() != "plain") {
    http::Problem refusal =
        http::Problem{.status = http::Status::not_found,
                      .code = "unknown-service",
                      .detail = "no plain service \"" + context.service + "\" is declared"};
    co_await sendProblem(exchange, context, std::move(refusal));
    co_return;
  }
  ServiceRequest request;
  request.target = rest.substr(name_end);
  if (!request.target.starts_with('/')) {
    request.target = "/" + request.target;
  }
  const v1::Route* route = findRoute(*context.serving_snapshot.configuration, context.service,
                                     http::pathOf(request.target));
  // Without a route that declares it, a request is repeatable only if its method is safe to repeat.
  const bool safe_method = exchange.request().method() == http::Verb::get ||
                           exchange.request().method() == http::Verb::head;
  request.repeatable = route != nullptr ? route->repeatable() : safe_method;
  request.idempotency_key =
      http::fieldOf(exchange.request(), "Idempotency-Key").value_or(std::string());
  const bool key_fits =
      !request.idempotency_key.empty() && request.idempotency_key.size() <= kMaxIdempotencyKeyBytes;
  if (!request.repeatable && !key_fits) {
    http::Problem refusal =
        badRequest("header Idempotency-Key: expected 1 to 255 characters, since the "
                   "route may not be repeated");
    co_await sendProblem(exchange, context, std::move(refusal));
    co_return;
  }
  const uint32_t deadline_ms = route != nullptr && route->deadline_ms() != 0
                                   ? route->deadline_ms()
                                   : dependencies_.settings.router().deadline_ms();
  context.deadline_ms = context.started_ms + deadline_ms;
  context.priority = route == nullptr ? 0 : route->priority();
  http::Client& client = clientOf((co_await asio::this_coro::executor).context());
  ServiceRun run(exchange, context, std::move(request), dependencies_.selector,
                 dependencies_.tables, client, dependencies_.control, dependencies_.stats,
                 dependencies_.clock, dependencies_.settings.name(), dependencies_.incarnation);
  co_await run.run();
}

std::vector<std::string> RequestHandler::otherRouterAddresses(const v1::View& view) const {
  std::vector<std::string> addresses;
  for (const v1::RouterEntry& router : view.routers()) {
    if (router.name() != dependencies_.settings.name() && router.state() == v1::ROUTER_ACTIVE &&
        addresses.size() < kMaxEndpoints) {
      addresses.push_back(router.http_address());
    }
  }
  return addresses;
}

asio::awaitable<void> RequestHandler::serveEndpoints(http::Exchange& exchange) {
  const serving::ServingSnapshot serving_snapshot = dependencies_.tables.snapshot();
  const std::string service =
      http::queryParameter(exchange.target(), "service").value_or(std::string());
  const std::string session =
      http::queryParameter(exchange.target(), "session").value_or(std::string());
  const std::string tenant =
      http::queryParameter(exchange.target(), "tenant").value_or(std::string());
  const uint64_t key = session.empty() ? routing::fingerprintOf(newRequestId())
                                       : routing::fingerprintOf(tenant + "\n" + session);
  // The owner of the engine that the session ranks first is listed first, then the routers in the
  // zone of that engine.
  std::string owner_name;
  std::string zone = dependencies_.settings.zone();
  uint64_t best_weight = 0;
  for (const routing::EngineInfo& engine : dependencies_.tables.engines(service)) {
    const uint64_t weight = routing::rendezvousWeight(key, engine.engine);
    if (!engine.isUsable() || weight < best_weight) {
      continue;
    }
    const v1::RouterEntry* owner =
        routing::ownerOf(*serving_snapshot.view, engine.engine, engine.zone);
    if (owner != nullptr) {
      best_weight = weight;
      owner_name = owner->name();
      zone = engine.zone;
    }
  }
  std::vector<const v1::RouterEntry*> routers;
  for (const v1::RouterEntry& router : serving_snapshot.view->routers()) {
    if (router.state() == v1::ROUTER_ACTIVE && isInSettledView(serving_snapshot, router)) {
      routers.push_back(&router);
    }
  }
  const auto precedes = [&](const v1::RouterEntry* left, const v1::RouterEntry* right) {
    const auto sortKey = [&](const v1::RouterEntry* router) {
      return std::tuple(router->name() != owner_name, router->zone() != zone,
                        routing::rendezvousWeight(key, router->name()));
    };
    return sortKey(left) < sortKey(right);
  };
  std::sort(routers.begin(), routers.end(), precedes);
  nlohmann::json endpoints = nlohmann::json::array();
  for (size_t i = 0; i < std::min(routers.size(), kMaxEndpoints); ++i) {
    endpoints.push_back({{"address", routers[i]->http_address()}, {"zone", routers[i]->zone()}});
  }
  const nlohmann::json body = {{"endpoints", std::move(endpoints)},
                               {"ttl_ms", dependencies_.settings.router().endpoints_ttl_ms()},
                               {"view", serving_snapshot.view->number()}};
  http::Response response = http::makeResponse(http::Status::ok, "application/json", body.dump());
  co_await exchange.respond(std::move(response));
}

asio::awaitable<void> RequestHandler::serveReady(http::Exchange& exchange) {
  const bool ready = dependencies_.tables.mayServe() && !draining_;
  const serving::ServingSnapshot serving_snapshot = dependencies_.tables.snapshot();
  const nlohmann::json body = {{"ready", ready},
                               {"draining", draining_.load()},
                               {"revision", serving_snapshot.revision},
                               {"view", serving_snapshot.view->number()},
                               {"settled_view", serving_snapshot.settled_view}};
  http::Response response =
      http::makeResponse(ready ? http::Status::ok : http::Status::service_unavailable,
                         "application/json", body.dump());
  co_await exchange.respond(std::move(response));
}

asio::awaitable<void> RequestHandler::serveMetrics(http::Exchange& exchange) {
  const serving::ServingSnapshot serving_snapshot = dependencies_.tables.snapshot();
  struct OwnerGauges {
    size_t permits = 0;
    size_t waiting = 0;
  };
  const OwnerGauges gauges =
      dependencies_.tables.withPermitTable([](admission::PermitTable& permit_table) {
        return OwnerGauges{.permits = permit_table.permitCount(),
                           .waiting = permit_table.waitingCount()};
      });
  std::string text = dependencies_.stats.expose() + dependencies_.network_metrics();
  text += metrics::exposeGauge("revision", "revision in force", serving_snapshot.revision);
  text +=
      metrics::exposeGauge("view", "number of the view in force", serving_snapshot.view->number());
  text += metrics::exposeGauge("serving", "1 while this router has a serving lease",
                               dependencies_.tables.mayServe() ? 1 : 0);
  text += metrics::exposeGauge("permits", "permits given out by this owner", gauges.permits);
  text += metrics::exposeGauge("waiting", "requests waiting at this owner", gauges.waiting);
  http::Response response =
      http::makeResponse(http::Status::ok, metrics::kContentType, std::move(text));
  co_await exchange.respond(std::move(response));
}

} // namespace workshatch::daemon

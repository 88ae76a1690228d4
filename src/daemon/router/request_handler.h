/// @file
/// Dispatches callers' HTTP requests: checks them, applies the tenants' limits, and starts the
/// ChatRun or ServiceRun that serves each.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "adapters/http/http_client.h"
#include "adapters/http/http_server.h"
#include "adapters/rpc/control_client.h"
#include "core/limits/tenant_limiter.h"
#include "daemon/router/chat_run.h"
#include "daemon/router/engine_selector.h"
#include "daemon/router/service_run.h"
#include "workshatch/v1/settings.pb.h"

namespace workshatch::daemon {

/// Handles all HTTP requests to the router. Safe for concurrent use.
class RequestHandler {
public:
  struct Dependencies {
    const v1::Settings& settings;
    uint64_t incarnation;
    RouterTables& tables;
    PermitClient& permits;
    EngineSelector& selector;
    rpc::ControlClient& control;
    metrics::RouterStats& stats;
    const Clock& clock;
    WorkerPool& workers;
    /// Returns the metrics of other components in the text exposition format.
    std::function<std::string()> network_metrics;
  };

  explicit RequestHandler(Dependencies dependencies);

  boost::asio::awaitable<void> handle(http::Exchange& exchange);

  /// Applies the tenants of the configuration and their limits.
  void configure(const v1::Configuration& configuration);
  /// Marks the router as draining: it reports itself as not ready and closes connections after the
  /// current response.
  void setDraining() { draining_ = true; }
  /// Closes, on each worker, the idle connections to runners whose keep-alive time has passed. To
  /// be called periodically. Returns before they are closed. Safe for concurrent use.
  void closeExpiredConnections();
  /// @return the response to a request that the HTTP server refuses by itself.
  http::Response makeRefusal(http::Status status, const std::string& reason) const;

private:
  http::awaitable<void> serveProxiedRequest(http::Exchange& exchange);
  http::awaitable<void> serveChat(http::Exchange& exchange, RequestContext& context);
  http::awaitable<void> serveService(http::Exchange& exchange, RequestContext& context);
  http::awaitable<void> serveEndpoints(http::Exchange& exchange);
  http::awaitable<void> serveMetrics(http::Exchange& exchange);
  http::awaitable<void> serveReady(http::Exchange& exchange);
  http::awaitable<void> sendProblem(http::Exchange& exchange, const RequestContext& context,
                                    http::Problem problem);
  bool admitTenant(const RequestContext& context, http::Problem& problem);
  std::vector<std::string> otherRouterAddresses(const v1::View& view) const;
  /// @return the HTTP client of the given worker.
  http::Client& clientOf(boost::asio::execution_context& worker) { return *clients_.at(&worker); }

  Dependencies dependencies_;
  std::atomic<bool> draining_{false};
  /// One client per worker, because its connections belong to the worker's thread. Not changed
  /// after construction.
  std::map<const boost::asio::execution_context*, std::unique_ptr<http::Client>> clients_;
  std::mutex limiter_mutex_;
  /// Guarded by limiter_mutex_.
  limits::TenantLimiter limiter_;
};

} // namespace workshatch::daemon

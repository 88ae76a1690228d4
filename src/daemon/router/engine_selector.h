/// @file
/// Chooses an engine for a request and obtains a permit for it from the engine's owner.
#pragma once

#include <set>
#include <string>
#include <variant>

#include <boost/asio/awaitable.hpp>

#include "adapters/metrics/router_stats.h"
#include "daemon/router/decision_log.h"
#include "daemon/router/permit_client.h"
#include "daemon/router/request_context.h"
#include "daemon/router/router_tables.h"

namespace workshatch::daemon {

/// An engine with a permit to run one request on it.
struct Placement {
  routing::EngineInfo engine;
  v1::PermitId permit;
};

/// Why no engine was selected, as reported to the caller.
struct SelectionRefused {
  std::string code;
  std::string detail;
  uint32_t retry_after_ms = 0;
};

using Selection = std::variant<Placement, SelectionRefused>;

/// Selects engines by rendezvous hashing of the session. Safe for concurrent use.
class EngineSelector {
public:
  EngineSelector(RouterTables& tables, PermitClient& permits, const Clock& clock,
                 metrics::RouterStats& stats);

  /// Tries the usable engines that are not in `excluded`, in the order in which the session ranks
  /// them. Waits for a limited time if none of them can take the request.
  boost::asio::awaitable<Selection> select(RequestContext& context,
                                           const std::set<std::string>& excluded);

  /// Tries only the given engine, which already works on the request, without waiting in its queue.
  boost::asio::awaitable<Selection> selectEngine(RequestContext& context,
                                                 const std::string& engine);

  void release(const Placement& placement) { permits_.release(placement.permit); }

private:
  /// Result of one pass over the candidates.
  struct PassResult {
    std::optional<Placement> placement;
    bool all_full = false;
    uint32_t retry_after_ms = 0;
  };

  std::vector<routing::EngineInfo> candidates(RequestContext& context,
                                              const std::set<std::string>& excluded) const;
  boost::asio::awaitable<PassResult> tryCandidates(RequestContext& context,
                                                   std::vector<routing::EngineInfo> candidates);
  boost::asio::awaitable<std::optional<Placement>>
  followRedirect(RequestContext& context, const std::vector<routing::EngineInfo>& candidates,
                 const std::string& engine);
  boost::asio::awaitable<PassResult> waitInQueue(RequestContext& context,
                                                 const routing::EngineInfo& engine);
  Placement recordPlacement(const RequestContext& context, const routing::EngineInfo& engine,
                            const PermitResult& result, const std::string& reason);

  RouterTables& tables_;
  PermitClient& permits_;
  const Clock& clock_;
  metrics::RouterStats& stats_;
};

} // namespace workshatch::daemon

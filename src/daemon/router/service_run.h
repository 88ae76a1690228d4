/// @file
/// Serves one request to a plain service. A request that is not repeatable runs at most once.
#pragma once

#include <set>
#include <string>

#include "adapters/http/http_client.h"
#include "adapters/http/http_server.h"
#include "adapters/rpc/control_client.h"
#include "daemon/router/engine_selector.h"

namespace workshatch::daemon {

struct ServiceRequest {
  /// Path and query at the back end.
  std::string target;
  bool repeatable = true;
  /// Value of the header `Idempotency-Key`; required if the request is not repeatable.
  std::string idempotency_key;
};

/// The back end's answer, or the error for the caller if there is none.
struct ServiceOutcome {
  http::Execution execution = http::Execution::NotRun;
  v1::RecordedAnswer answer;
  http::Problem problem;
  std::string engine;
};

/// Serves one request on the worker thread of the caller's connection.
///
/// Guarantees for a request that is not repeatable: the ledger has granted it before its first byte
/// is sent to a back end; it is not tried again once a byte may have been sent; and the answer is
/// recorded in the ledger before it is sent to the caller.
class ServiceRun {
public:
  ServiceRun(http::Exchange& exchange, RequestContext& context, ServiceRequest request,
             EngineSelector& selector, RouterTables& tables, http::Client& client,
             rpc::ControlClient& control, metrics::RouterStats& stats, const Clock& clock,
             std::string router, uint64_t incarnation);

  boost::asio::awaitable<void> run();

private:
  http::awaitable<ServiceOutcome> dispatch();
  http::awaitable<bool> dispatchTo(const Placement& placement, ServiceOutcome& outcome);
  http::awaitable<void> runNonRepeatable();
  http::awaitable<v1::LedgerReply> beginInLedger();
  http::awaitable<void> recordInLedger(ServiceOutcome outcome);
  http::awaitable<void> abandonInLedger(ServiceOutcome outcome);
  http::awaitable<void> sendAnswer(const v1::RecordedAnswer& recorded, const std::string& engine,
                                   bool replayed);
  http::awaitable<void> sendProblem(http::Problem problem);
  http::Request upstreamRequest(const Placement& placement) const;
  std::string ledgerKey() const;
  std::string requestFingerprint() const;
  int64_t remainingMs() const;

  http::Exchange& exchange_;
  RequestContext& context_;
  ServiceRequest request_;
  EngineSelector& selector_;
  RouterTables& tables_;
  http::Client& client_;
  rpc::ControlClient& control_;
  metrics::RouterStats& stats_;
  const Clock& clock_;
  const std::string router_;
  const uint64_t incarnation_;
  const uint64_t attempt_id_;
};

} // namespace workshatch::daemon

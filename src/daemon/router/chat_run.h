/// @file
/// One chat completion: from a parsed request to the whole answer, over as many engines as it
/// takes.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "adapters/http/event_stream.h"
#include "adapters/http/http_client.h"
#include "adapters/http/http_server.h"
#include "daemon/router/engine_selector.h"

namespace workshatch::daemon {

/// What a caller asked for.
struct ChatRequest {
  nlohmann::json body;
  bool stream = false;
  std::string session_name;
  /// Events that the caller has already; from its `Last-Event-ID`.
  uint64_t events_received = 0;
  /// Engine that sent those; empty: not known.
  std::string resume_engine;
};

/// Serves one request on the caller's worker.
///
/// Guarantees: the caller gets each event of its own answer once and in order, or an end that is
/// not the answer's; an event that carries another request's id is dropped.
class ChatRun {
public:
  ChatRun(http::Exchange& exchange, RequestContext& context, ChatRequest request,
          EngineSelector& selector, RouterTables& tables, http::Client& client,
          metrics::RouterStats& stats, const Clock& clock);

  boost::asio::awaitable<void> run();

private:
  enum class AttemptResult {
    Done,
    /// The runner cannot be reached or refuses work that it did not start.
    TryAnother,
    /// The stream broke off; the same engine may still have it.
    Resume,
    CallerGone,
    /// The runner refused the request itself; the caller has its answer.
    Rejected,
  };

  http::awaitable<AttemptResult> runAttempt(const Placement& placement);
  http::awaitable<AttemptResult> relayEvents(http::ClientResponse& answer,
                                             const Placement& placement);
  http::awaitable<bool> acceptEvent(const http::ServerSentEvent& event, const Placement& placement);
  http::awaitable<bool> deliver(const std::string& data, const Placement& placement);
  http::awaitable<bool> startResponse();
  http::awaitable<void> finishResponse(const Placement& placement);
  http::awaitable<void> failRequest(http::Problem problem);
  http::awaitable<void> cancelOnRunner(const Placement& placement);
  http::awaitable<Selection> nextPlacement(const std::string& last_engine, AttemptResult last);
  http::Request upstreamRequest(const Placement& placement) const;
  bool belongsToRequest(const nlohmann::json& event) const;
  void recordUsage(const nlohmann::json& event);

  http::Exchange& exchange_;
  RequestContext& context_;
  ChatRequest request_;
  EngineSelector& selector_;
  RouterTables& tables_;
  http::Client& client_;
  metrics::RouterStats& stats_;
  const Clock& clock_;

  /// Number of the last event delivered; events of a stream are numbered from one.
  uint64_t last_delivered_ = 0;
  /// Events that came before an earlier one.
  std::map<uint64_t, std::string> out_of_order_events_;
  bool response_started_ = false;
  bool complete_ = false;
  std::string completion_text_;
  nlohmann::json usage_;
  std::set<std::string> failed_engines_;
};

} // namespace workshatch::daemon

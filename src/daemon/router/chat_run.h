/// @file
/// Serves one chat completion request. Relays the engine's event stream to the caller, and resumes
/// it on the same or another engine after a failure.
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

/// A parsed chat completion request.
struct ChatRequest {
  nlohmann::json body;
  bool stream = false;
  std::string session_name;
  /// Number of events that the caller has already received, from the header `Last-Event-ID`.
  uint64_t events_received = 0;
  /// Engine that sent these events; empty if not known.
  std::string resume_engine;
};

/// Serves one request on the worker thread of the caller's connection.
///
/// Guarantees: the caller receives each event of its response once and in order. If the response
/// cannot be completed, the caller gets an error or a stream without the final event. Events that
/// carry the id of another request are dropped.
class ChatRun {
public:
  ChatRun(http::Exchange& exchange, RequestContext& context, ChatRequest request,
          EngineSelector& selector, RouterTables& tables, http::Client& client,
          metrics::RouterStats& stats, const Clock& clock);

  boost::asio::awaitable<void> run();

private:
  enum class AttemptResult {
    Done,
    /// The runner could not be reached or answered with a 5xx status.
    TryAnother,
    /// The connection failed after the request was sent, or the stream stalled or ended early. The
    /// engine may still work on the request.
    Resume,
    CallerGone,
    /// The runner rejected the request; the error has been sent to the caller.
    Rejected,
  };

  http::awaitable<AttemptResult> runAttempt(const Placement& placement);
  http::awaitable<AttemptResult> relayEvents(http::ClientResponse& response,
                                             const Placement& placement);
  http::awaitable<bool> acceptEvent(const http::ServerSentEvent& event, const Placement& placement);
  http::awaitable<bool> deliver(const std::string& data, const Placement& placement);
  http::awaitable<bool> startResponse();
  http::awaitable<void> finishResponse(const Placement& placement);
  http::awaitable<void> failRequest(http::Problem problem);
  http::awaitable<void> cancelOnRunner(const Placement& placement);
  http::awaitable<Selection> nextPlacement(const std::string& last_engine,
                                           AttemptResult last_result);
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
  /// Events received before an event with a lower number, by number.
  std::map<uint64_t, std::string> out_of_order_events_;
  /// Bytes of their data.
  size_t out_of_order_bytes_ = 0;
  bool response_started_ = false;
  bool complete_ = false;
  std::string completion_text_;
  nlohmann::json usage_;
  std::set<std::string> failed_engines_;
};

} // namespace workshatch::daemon

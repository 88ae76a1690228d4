#include "daemon/router/engine_selector.h"

#include <algorithm>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/routing/rendezvous.h"

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

/// Number of engines tried before the request waits in a queue.
constexpr size_t kMaxCandidates = 4;
/// Limit on the time that a request waits in the queue of its first-choice engine.
constexpr int64_t kMaxQueueMs = 2000;
/// Pause between passes over the candidates, and the time after which no further pass is made.
/// Passes are repeated to bridge the time in which engines change owners.
constexpr std::chrono::milliseconds kPassInterval{100};
constexpr int64_t kMaxSelectionMs = 4000;
constexpr uint32_t kMinRetryAfterMs = 1000;

std::string verdictText(v1::PermitVerdict verdict) {
  switch (verdict) {
  case v1::PERMIT_FULL:
    return "full";
  case v1::PERMIT_QUEUED:
    return "queue deadline";
  case v1::PERMIT_LEAVING:
    return "leaving";
  case v1::PERMIT_NOT_OWNER:
    return "changing owners";
  case v1::PERMIT_UNKNOWN_ENGINE:
    return "not known to its owner";
  case v1::PERMIT_REDIRECT:
    return "cache is elsewhere";
  default:
    return "owner did not answer";
  }
}

const char* unusableReason(const routing::EngineInfo& engine) {
  if (engine.leaving) {
    return "leaving";
  }
  if (engine.backing_off) {
    return "asked for a backoff";
  }
  return engine.held_down ? "held down" : "failed";
}

PermitParameters parametersFor(const RequestContext& context, const routing::EngineInfo& engine) {
  PermitParameters parameters;
  parameters.request_id = context.id;
  parameters.engine = engine;
  parameters.tenant = context.tenant;
  parameters.cost = context.cost;
  parameters.session = context.session;
  parameters.priority = context.priority;
  return parameters;
}

} // namespace

EngineSelector::EngineSelector(RouterTables& tables, PermitClient& permits, const Clock& clock,
                               metrics::RouterStats& stats)
    : tables_(tables), permits_(permits), clock_(clock), stats_(stats) {}

std::vector<routing::EngineInfo>
EngineSelector::candidates(RequestContext& context, const std::set<std::string>& excluded) const {
  std::vector<routing::EngineInfo> usable;
  for (routing::EngineInfo& engine : tables_.engines(context.service)) {
    if (!engine.isUsable() || excluded.contains(engine.engine)) {
      context.skipped_engines.push_back(
          SkippedEngine{.engine = engine.engine, .reason = unusableReason(engine)});
      continue;
    }
    usable.push_back(std::move(engine));
  }
  const uint64_t key = context.session != 0 ? context.session : routing::fingerprintOf(context.id);
  return routing::rank(
      key, std::move(usable),
      [](const routing::EngineInfo& info) -> const std::string& { return info.engine; });
}

Placement EngineSelector::recordPlacement(const RequestContext& context,
                                          const routing::EngineInfo& engine,
                                          const PermitResult& result, const std::string& reason) {
  ++stats_.decisions_total;
  const uint64_t micros = logDecision(
      context, Decision{.engine = engine.engine, .owner = result.owner, .reason = reason});
  stats_.decision_latency.record(micros);
  return Placement{.engine = engine, .permit = result.permit};
}

asio::awaitable<std::optional<Placement>>
EngineSelector::followRedirect(RequestContext& context,
                               const std::vector<routing::EngineInfo>& candidates,
                               const std::string& engine) {
  const auto target = std::find_if(candidates.begin(), candidates.end(),
                                   [&](const auto& info) { return info.engine == engine; });
  if (target == candidates.end()) {
    co_return std::nullopt;
  }
  PermitParameters parameters = parametersFor(context, *target);
  parameters.no_redirect = true;
  const PermitResult result = co_await permits_.acquire(parameters);
  if (result.verdict != v1::PERMIT_GRANTED) {
    context.skipped_engines.push_back(
        SkippedEngine{.engine = engine, .reason = verdictText(result.verdict)});
    co_return std::nullopt;
  }
  ++stats_.session_redirects_total;
  co_return recordPlacement(context, *target, result, "holds the session's cache");
}

asio::awaitable<EngineSelector::PassResult>
EngineSelector::tryCandidates(RequestContext& context,
                              std::vector<routing::EngineInfo> candidates) {
  PassResult pass;
  pass.all_full = true;
  for (size_t i = 0; i < std::min(candidates.size(), kMaxCandidates); ++i) {
    const routing::EngineInfo& engine = candidates[i];
    PermitParameters parameters = parametersFor(context, engine);
    parameters.no_redirect = i != 0;
    PermitResult result = co_await permits_.acquire(parameters);
    if (result.verdict == v1::PERMIT_REDIRECT) {
      pass.placement = co_await followRedirect(context, candidates, result.redirect_engine);
      if (pass.placement) {
        co_return pass;
      }
      parameters.no_redirect = true;
      result = co_await permits_.acquire(parameters);
    }
    if (result.verdict == v1::PERMIT_GRANTED) {
      pass.placement =
          recordPlacement(context, engine, result, i == 0 ? "first choice" : "next choice");
      if (context.session != 0) {
        permits_.recordSessionMove(candidates.front(), context.session, engine.engine);
      }
      co_return pass;
    }
    context.skipped_engines.push_back(
        SkippedEngine{.engine = engine.engine, .reason = verdictText(result.verdict)});
    pass.all_full = pass.all_full && result.verdict == v1::PERMIT_FULL;
    pass.retry_after_ms = std::max(pass.retry_after_ms, result.retry_after_ms);
  }
  co_return pass;
}

asio::awaitable<EngineSelector::PassResult>
EngineSelector::waitInQueue(RequestContext& context, const routing::EngineInfo& engine) {
  PassResult pass;
  const int64_t left = context.deadline_ms - clock_.monotonicMs();
  PermitParameters parameters = parametersFor(context, engine);
  parameters.no_redirect = true;
  parameters.wait_ms = static_cast<uint32_t>(std::clamp<int64_t>(left, 1, kMaxQueueMs));
  const PermitResult result = co_await permits_.acquire(parameters);
  if (result.verdict == v1::PERMIT_GRANTED) {
    pass.placement = recordPlacement(context, engine, result, "waited for its first choice");
    co_return pass;
  }
  context.skipped_engines.push_back(
      SkippedEngine{.engine = engine.engine, .reason = verdictText(result.verdict)});
  pass.all_full = result.verdict == v1::PERMIT_FULL || result.verdict == v1::PERMIT_QUEUED;
  pass.retry_after_ms = result.retry_after_ms;
  co_return pass;
}

asio::awaitable<Selection> EngineSelector::select(RequestContext& context,
                                                  const std::set<std::string>& excluded) {
  const int64_t give_up_ms = std::min(context.deadline_ms, clock_.monotonicMs() + kMaxSelectionMs);
  asio::steady_timer pause(co_await asio::this_coro::executor);
  while (true) {
    const std::vector<routing::EngineInfo> usable = candidates(context, excluded);
    PassResult pass;
    if (!usable.empty()) {
      pass = co_await tryCandidates(context, usable);
      if (!pass.placement && pass.all_full) {
        pass = co_await waitInQueue(context, usable.front());
      }
    }
    if (pass.placement) {
      co_return std::move(*pass.placement);
    }
    if (pass.all_full || clock_.monotonicMs() >= give_up_ms) {
      const bool none = usable.empty();
      SelectionRefused refused;
      refused.code = none ? "no-engine" : pass.all_full ? "overloaded" : "no-owner";
      refused.detail = none ? "no engine of service \"" + context.service + "\" is in use"
                            : "no engine of service \"" + context.service + "\" has room";
      refused.retry_after_ms = std::max(pass.retry_after_ms, kMinRetryAfterMs);
      logDecision(context, Decision{.engine = "", .owner = "", .reason = refused.code});
      co_return refused;
    }
    pause.expires_after(kPassInterval);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<Selection> EngineSelector::selectEngine(RequestContext& context,
                                                        const std::string& engine) {
  const auto info = tables_.findEngine(engine);
  if (!info || info->service != context.service) {
    co_return SelectionRefused{.code = "no-engine", .detail = "the engine is gone"};
  }
  if (info->backing_off) {
    co_return SelectionRefused{.code = "overloaded", .detail = unusableReason(*info)};
  }
  PermitParameters parameters = parametersFor(context, *info);
  parameters.no_redirect = true;
  const PermitResult result = co_await permits_.acquire(parameters);
  if (result.verdict != v1::PERMIT_GRANTED) {
    co_return SelectionRefused{.code = "overloaded", .detail = verdictText(result.verdict)};
  }
  co_return recordPlacement(context, *info, result, "works on the request already");
}

} // namespace workshatch::daemon

#include "daemon/router/service_run.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <xxhash.h>

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{500};
/// How long a router tries to reach the ledger before it refuses the request.
constexpr int64_t kLedgerTimeoutMs = 4000;
/// How long a router tries to record the outcome in the ledger after it has answered the caller.
constexpr int64_t kLedgerBackgroundTimeoutMs = 120'000;
constexpr std::chrono::milliseconds kInProgressPollInterval{100};
constexpr uint32_t kRetryAfterMs = 1000;
constexpr size_t kMaxAnswerBytes = 4U << 20U;
/// Separates the parts of a ledger key; no name contains this character.
constexpr char kKeySeparator = '\n';

uint64_t newAttemptId() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U) | device();
}

constexpr const char* kLedgerUnreachable = "ledger-unreachable";

/// @return the error for the caller if the ledger did not grant a request, by the ledger's outcome.
http::Problem ledgerProblem(v1::LedgerOutcome outcome) {
  http::Problem problem;
  switch (outcome) {
  case v1::LEDGER_KEY_REUSED:
    problem.status = http::Status::unprocessable_entity;
    problem.code = "key-reused";
    problem.detail = "header Idempotency-Key: this key was used before with another request";
    return problem;
  case v1::LEDGER_OUTCOME_UNKNOWN:
    problem.status = http::Status::bad_gateway;
    problem.code = "outcome-unknown";
    problem.detail = "whether the request with this Idempotency-Key ran is not known; it is not "
                     "run again";
    problem.execution = http::Execution::Unknown;
    return problem;
  case v1::LEDGER_IN_PROGRESS:
    problem.status = http::Status::conflict;
    problem.code = "in-progress";
    problem.detail = "the request with this Idempotency-Key is in progress";
    problem.execution = http::Execution::Unknown;
    problem.retry_after_ms = kRetryAfterMs;
    return problem;
  default:
    problem.status = http::Status::service_unavailable;
    problem.code = kLedgerUnreachable;
    problem.detail = "the ledger of requests that may not be repeated cannot be reached";
    problem.retry_after_ms = kRetryAfterMs;
    return problem;
  }
}

} // namespace

ServiceRun::ServiceRun(http::Exchange& exchange, RequestContext& context, ServiceRequest request,
                       EngineSelector& selector, RouterTables& tables, http::Client& client,
                       rpc::ControlClient& control, metrics::RouterStats& stats, const Clock& clock,
                       std::string router, uint64_t incarnation)
    : exchange_(exchange), context_(context), request_(std::move(request)), selector_(selector),
      tables_(tables), client_(client), control_(control), stats_(stats), clock_(clock),
      router_(std::move(router)), incarnation_(incarnation), attempt_id_(newAttemptId()) {}

int64_t ServiceRun::remainingMs() const {
  return std::max<int64_t>(context_.deadline_ms - clock_.monotonicMs(), 1);
}

std::string ServiceRun::ledgerKey() const {
  return context_.tenant + kKeySeparator + context_.service + kKeySeparator +
         request_.idempotency_key;
}

std::string ServiceRun::requestFingerprint() const {
  const http::Request& request = exchange_.request();
  const std::string text = std::string(http::viewOf(request.method_string())) + kKeySeparator +
                           request_.target + kKeySeparator + request.body();
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, hash);
  return {reinterpret_cast<const char*>(canonical.digest), sizeof(canonical.digest)};
}

http::Request ServiceRun::upstreamRequest(const Placement& placement) const {
  http::Request request(exchange_.request().method(), request_.target, 11);
  for (const auto field : {http::Field::content_type, http::Field::accept}) {
    const auto value = exchange_.request().find(field);
    if (value != exchange_.request().end()) {
      request.set(field, value->value());
    }
  }
  http::setHeader(request, "X-Request-Id", context_.id);
  http::setHeader(request, "X-Tenant", context_.tenant);
  http::setHeader(request, "X-Engine", std::to_string(placement.engine.number));
  if (!request_.idempotency_key.empty()) {
    http::setHeader(request, "Idempotency-Key", request_.idempotency_key);
  }
  request.body() = exchange_.request().body();
  return request;
}

http::awaitable<void> ServiceRun::run() {
  if (!request_.repeatable) {
    co_await runNonRepeatable();
    co_return;
  }
  const ServiceOutcome outcome = co_await dispatch();
  if (outcome.execution == http::Execution::Completed) {
    co_await sendAnswer(outcome.answer, outcome.engine, false);
  } else {
    co_await sendProblem(outcome.problem);
  }
}

http::awaitable<ServiceOutcome> ServiceRun::dispatch() {
  ServiceOutcome outcome;
  std::set<std::string> failed_engines;
  while (true) {
    Selection selection = co_await selector_.select(context_, failed_engines);
    if (const auto* refused = std::get_if<SelectionRefused>(&selection)) {
      outcome.problem = http::Problem{.status = http::Status::service_unavailable,
                                      .code = refused->code,
                                      .detail = refused->detail,
                                      .execution = context_.maybe_sent ? http::Execution::Unknown
                                                                       : http::Execution::NotRun,
                                      .retry_after_ms = refused->retry_after_ms};
      outcome.execution = outcome.problem.execution;
      co_return outcome;
    }
    const Placement placement = std::get<Placement>(std::move(selection));
    const bool ended = co_await dispatchTo(placement, outcome);
    selector_.release(placement);
    if (ended) {
      co_return outcome;
    }
    ++stats_.retries_total;
    failed_engines.insert(placement.engine.engine);
    tables_.recordRunnerFailure(placement.engine.runner);
  }
}

/// Sends the request to one engine.
/// @return whether the request has ended; if not, another engine may be tried.
http::awaitable<bool> ServiceRun::dispatchTo(const Placement& placement, ServiceOutcome& outcome) {
  outcome.engine = placement.engine.engine;
  http::CallOptions options;
  options.connect_timeout = kConnectTimeout;
  options.read_timeout = std::chrono::milliseconds(remainingMs());
  // The back end may have closed a reused connection; it would then be unknown whether the request
  // ran.
  options.fresh_connection = !request_.repeatable;
  http::CallCancel cancel;
  if (request_.repeatable) {
    exchange_.onDisconnect([&cancel] { cancel.cancel(); });
  }
  http::CallResult result =
      co_await client_.call(placement.engine.address, upstreamRequest(placement), options, &cancel);
  exchange_.onDisconnect(nullptr);
  const auto* error = std::get_if<http::CallError>(&result);
  std::variant<std::string, http::CallError> body = std::string();
  if (error == nullptr) {
    http::ClientResponse& response = *std::get<std::unique_ptr<http::ClientResponse>>(result);
    tables_.recordBackoffRequest(placement.engine.runner, response);
    body = co_await response.readAll(kMaxAnswerBytes);
    if (std::holds_alternative<std::string>(body)) {
      const auto status = static_cast<unsigned>(response.status());
      const bool refused = response.header("X-Execution").value_or("") == "not-run";
      if (refused && status >= 500) {
        context_.skipped_engines.push_back(
            SkippedEngine{.engine = placement.engine.engine, .reason = "refused before it ran"});
        co_return false;
      }
      outcome.execution = http::Execution::Completed;
      outcome.answer.set_http_status(status);
      outcome.answer.set_content_type(response.header("Content-Type").value_or("text/plain"));
      outcome.answer.set_body(std::get<std::string>(std::move(body)));
      tables_.recordRunnerSuccess(placement.engine.runner);
      co_return true;
    }
    error = &std::get<http::CallError>(body);
  }
  context_.skipped_engines.push_back(
      SkippedEngine{.engine = placement.engine.engine, .reason = error->message});
  const bool maybe_sent = error->phase == http::CallPhase::Sent;
  context_.maybe_sent = context_.maybe_sent || maybe_sent;
  const bool may_retry = !maybe_sent || request_.repeatable;
  if (may_retry && clock_.monotonicMs() < context_.deadline_ms && !exchange_.clientDisconnected()) {
    co_return false;
  }
  outcome.execution = context_.maybe_sent ? http::Execution::Unknown : http::Execution::NotRun;
  outcome.problem = http::Problem{.status = http::Status::bad_gateway,
                                  .code = "no-answer",
                                  .detail = "the back end gave no whole answer",
                                  .execution = outcome.execution,
                                  .retry_after_ms = kRetryAfterMs};
  if (maybe_sent) {
    tables_.recordRunnerFailure(placement.engine.runner);
  }
  co_return true;
}

http::awaitable<v1::LedgerReply> ServiceRun::beginInLedger() {
  v1::LedgerBeginRequest begin;
  begin.set_key(ledgerKey());
  begin.set_fingerprint(requestFingerprint());
  begin.set_router(router_);
  begin.set_incarnation(incarnation_);
  begin.set_attempt(attempt_id_);
  asio::steady_timer pause(co_await asio::this_coro::executor);
  while (true) {
    auto result = co_await control_.begin(begin, std::min(remainingMs(), kLedgerTimeoutMs));
    if (isError(result)) {
      co_return v1::LedgerReply();
    }
    v1::LedgerReply& reply = std::get<v1::LedgerReply>(result);
    const bool wait = reply.outcome() == v1::LEDGER_IN_PROGRESS &&
                      clock_.monotonicMs() < context_.deadline_ms &&
                      !exchange_.clientDisconnected();
    if (!wait) {
      co_return std::move(reply);
    }
    pause.expires_after(kInProgressPollInterval);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

http::awaitable<void> ServiceRun::runNonRepeatable() {
  ++stats_.ledger_begins_total;
  const v1::LedgerReply begun = co_await beginInLedger();
  if (begun.outcome() == v1::LEDGER_GRANTED) {
    ServiceOutcome outcome = co_await dispatch();
    if (outcome.execution == http::Execution::NotRun) {
      co_await abandonInLedger(std::move(outcome));
    } else {
      co_await recordInLedger(std::move(outcome));
    }
    co_return;
  }
  if (begun.outcome() == v1::LEDGER_ANSWERED) {
    ++stats_.ledger_replays_total;
    co_await sendAnswer(begun.answer(), "", true);
    co_return;
  }
  ServiceOutcome refused;
  refused.problem = ledgerProblem(begun.outcome());
  if (refused.problem.code == kLedgerUnreachable) {
    // Nothing was dispatched. The abort closes the entry of a begin call that may still take
    // effect.
    co_await abandonInLedger(std::move(refused));
  } else {
    co_await sendProblem(std::move(refused.problem));
  }
}

http::awaitable<void> ServiceRun::abandonInLedger(ServiceOutcome outcome) {
  v1::LedgerAbortRequest abort;
  abort.set_key(ledgerKey());
  abort.set_attempt(attempt_id_);
  asio::co_spawn(
      co_await asio::this_coro::executor,
      [](rpc::ControlClient& control, v1::LedgerAbortRequest request) -> asio::awaitable<void> {
        co_await control.abort(std::move(request), kLedgerBackgroundTimeoutMs);
      }(control_, std::move(abort)),
      asio::detached);
  co_await sendProblem(std::move(outcome.problem));
}

http::awaitable<void> ServiceRun::recordInLedger(ServiceOutcome outcome) {
  v1::LedgerFinishRequest finish;
  finish.set_key(ledgerKey());
  finish.set_attempt(attempt_id_);
  finish.set_unknown(outcome.execution == http::Execution::Unknown);
  *finish.mutable_answer() = outcome.answer;
  const auto recorded = co_await control_.finish(finish, kLedgerTimeoutMs);
  if (isError(recorded)) {
    asio::co_spawn(
        co_await asio::this_coro::executor,
        [](rpc::ControlClient& control, v1::LedgerFinishRequest request) -> asio::awaitable<void> {
          co_await control.finish(std::move(request), kLedgerBackgroundTimeoutMs);
        }(control_, std::move(finish)),
        asio::detached);
  }
  const bool answered =
      !isError(recorded) && std::get<v1::LedgerReply>(recorded).outcome() == v1::LEDGER_ANSWERED;
  if (answered) {
    co_await sendAnswer(std::get<v1::LedgerReply>(recorded).answer(), outcome.engine, false);
    co_return;
  }
  http::Problem problem = outcome.problem;
  if (outcome.execution == http::Execution::Completed) {
    problem = http::Problem{.status = http::Status::bad_gateway,
                            .code = "outcome-unknown",
                            .detail = "the answer could not be recorded"};
  }
  problem.execution = http::Execution::Unknown;
  problem.retry_after_ms = kRetryAfterMs;
  co_await sendProblem(std::move(problem));
}

http::awaitable<void> ServiceRun::sendAnswer(const v1::RecordedAnswer& recorded,
                                             const std::string& engine, bool replayed) {
  ++stats_.answers_completed_total;
  logOutcome(context_, engine, http::Execution::Completed, recorded.http_status());
  http::Response response = http::makeResponse(static_cast<http::Status>(recorded.http_status()),
                                               recorded.content_type(), recorded.body());
  http::setHeader(response, "X-Request-Id", context_.id);
  http::setHeader(response, "X-Execution", "completed");
  if (replayed) {
    http::setHeader(response, "Idempotency-Replayed", "true");
  }
  co_await exchange_.respond(std::move(response));
}

http::awaitable<void> ServiceRun::sendProblem(http::Problem problem) {
  problem.request_id = context_.id;
  const bool unknown = problem.execution == http::Execution::Unknown;
  ++(unknown ? stats_.answers_unknown_total : stats_.answers_not_run_total);
  logOutcome(context_, "", problem.execution, static_cast<unsigned>(problem.status));
  http::Response response = http::makeProblem(problem);
  co_await exchange_.respond(std::move(response));
}

} // namespace workshatch::daemon

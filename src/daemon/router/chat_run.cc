#include "daemon/router/chat_run.h"

#include <charconv>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace workshatch::daemon {

using nlohmann::json;

namespace {

/// Limit on the events buffered while an event with a lower number is missing.
constexpr size_t kMaxOutOfOrderEvents = 256;
constexpr size_t kMaxOutOfOrderBytes = size_t{1} * 1024 * 1024;
/// Limit on the text of a completion that is sent whole.
constexpr size_t kMaxCompletionBytes = size_t{4} * 1024 * 1024;
constexpr int kMaxAttempts = 6;
/// A stream that delivers nothing for this long is treated as broken and resumed.
constexpr std::chrono::milliseconds kStallTimeout{3000};
constexpr std::chrono::milliseconds kConnectTimeout{500};
constexpr std::chrono::milliseconds kBodyEndTimeout{20};
constexpr uint32_t kRetryAfterMs = 1000;

uint64_t parseEventNumber(const std::string& text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

} // namespace

ChatRun::ChatRun(http::Exchange& exchange, RequestContext& context, ChatRequest request,
                 EngineSelector& selector, RouterTables& tables, http::Client& client,
                 metrics::RouterStats& stats, const Clock& clock)
    : exchange_(exchange), context_(context), request_(std::move(request)), selector_(selector),
      tables_(tables), client_(client), stats_(stats), clock_(clock),
      last_delivered_(request_.events_received) {}

http::awaitable<Selection> ChatRun::nextPlacement(const std::string& last_engine,
                                                  AttemptResult last_result) {
  if (last_result == AttemptResult::Resume && !last_engine.empty()) {
    Selection same = co_await selector_.selectEngine(context_, last_engine);
    if (std::holds_alternative<Placement>(same)) {
      co_return same;
    }
  }
  co_return co_await selector_.select(context_, failed_engines_);
}

http::awaitable<void> ChatRun::run() {
  std::string engine = request_.resume_engine;
  AttemptResult last_result = engine.empty() ? AttemptResult::TryAnother : AttemptResult::Resume;
  std::map<std::string, int> resumes;
  for (int attempts = 0; attempts < kMaxAttempts; ++attempts) {
    if (exchange_.clientDisconnected()) {
      ++stats_.cancelled_total;
      co_return;
    }
    Selection selection = co_await nextPlacement(engine, last_result);
    if (const auto* refused = std::get_if<SelectionRefused>(&selection)) {
      http::Problem problem = http::Problem{.status = http::Status::service_unavailable,
                                            .code = refused->code,
                                            .detail = refused->detail,
                                            .retry_after_ms = refused->retry_after_ms};
      co_await failRequest(std::move(problem));
      co_return;
    }
    const Placement placement = std::get<Placement>(std::move(selection));
    engine = placement.engine.engine;
    stats_.retries_total += attempts > 0 ? 1 : 0;
    last_result = co_await runAttempt(placement);
    selector_.release(placement);
    if (last_result == AttemptResult::Done) {
      tables_.recordRunnerSuccess(placement.engine.runner);
      co_await finishResponse(placement);
      co_return;
    }
    if (last_result == AttemptResult::CallerGone) {
      ++stats_.cancelled_total;
      co_await cancelOnRunner(placement);
      logOutcome(context_, engine, http::Execution::Unknown, 0);
      co_return;
    }
    if (last_result == AttemptResult::Rejected) {
      co_return;
    }
    if (last_result == AttemptResult::Resume) {
      ++stats_.stream_resumes_total;
    }
    if (last_result == AttemptResult::TryAnother || ++resumes[engine] > 1) {
      tables_.recordRunnerFailure(placement.engine.runner);
      failed_engines_.insert(engine);
      last_result = AttemptResult::TryAnother;
    }
    if (clock_.monotonicMs() >= context_.deadline_ms) {
      break;
    }
  }
  http::Problem problem = http::Problem{.status = http::Status::bad_gateway,
                                        .code = "no-answer",
                                        .detail = "no engine gave a whole answer in time",
                                        .retry_after_ms = kRetryAfterMs};
  co_await failRequest(std::move(problem));
}

http::Request ChatRun::upstreamRequest(const Placement& placement) const {
  http::Request request(http::Verb::post, "/v1/chat/completions", 11);
  request.set(http::Field::content_type, "application/json");
  http::setHeader(request, "X-Request-Id", context_.id);
  http::setHeader(request, "X-Tenant", context_.tenant);
  http::setHeader(request, "X-Engine", std::to_string(placement.engine.number));
  http::setHeader(request, "X-Priority", std::to_string(context_.priority));
  if (!request_.session_name.empty()) {
    http::setHeader(request, "X-Session-Id", request_.session_name);
  }
  if (last_delivered_ > 0) {
    http::setHeader(request, "Last-Event-ID", std::to_string(last_delivered_));
  }
  json body = request_.body;
  body["stream"] = true;
  request.body() = body.dump();
  return request;
}

http::awaitable<ChatRun::AttemptResult> ChatRun::runAttempt(const Placement& placement) {
  http::CallOptions options;
  options.connect_timeout = kConnectTimeout;
  options.read_timeout = kStallTimeout;
  http::CallCancel cancel;
  exchange_.onDisconnect([&cancel] { cancel.cancel(); });
  http::CallResult result =
      co_await client_.call(placement.engine.address, upstreamRequest(placement), options, &cancel);
  exchange_.onDisconnect(nullptr);
  if (const auto* error = std::get_if<http::CallError>(&result)) {
    context_.maybe_sent = context_.maybe_sent || error->phase == http::CallPhase::Sent;
    context_.skipped_engines.push_back(
        SkippedEngine{.engine = placement.engine.engine, .reason = error->message});
    if (exchange_.clientDisconnected()) {
      co_return AttemptResult::CallerGone;
    }
    co_return error->phase == http::CallPhase::Sent ? AttemptResult::Resume
                                                    : AttemptResult::TryAnother;
  }
  http::ClientResponse& response = *std::get<std::unique_ptr<http::ClientResponse>>(result);
  tables_.recordBackoffRequest(placement.engine.runner, response);
  if (response.status() == http::Status::ok) {
    context_.maybe_sent = true;
    co_return co_await relayEvents(response, placement);
  }
  auto body = co_await response.readAll(1U << 20U);
  const bool not_run = response.header("X-Execution").value_or("") == "not-run";
  if (static_cast<unsigned>(response.status()) >= 500 || !not_run) {
    context_.maybe_sent = context_.maybe_sent || !not_run;
  }
  if (static_cast<unsigned>(response.status()) >= 500) {
    context_.skipped_engines.push_back(SkippedEngine{
        .engine = placement.engine.engine,
        .reason = "answered " + std::to_string(static_cast<unsigned>(response.status()))});
    co_return AttemptResult::TryAnother;
  }
  http::Problem problem = http::Problem{.status = response.status(),
                                        .code = "rejected",
                                        .detail = std::holds_alternative<std::string>(body)
                                                      ? std::get<std::string>(body)
                                                      : "the engine refused the request"};
  co_await failRequest(std::move(problem));
  co_return AttemptResult::Rejected;
}

http::awaitable<ChatRun::AttemptResult> ChatRun::relayEvents(http::ClientResponse& response,
                                                             const Placement& placement) {
  exchange_.onDisconnect([&response] { response.cancel(); });
  http::EventStreamParser parser;
  out_of_order_events_.clear();
  out_of_order_bytes_ = 0;
  while (!complete_) {
    auto chunk = co_await response.read();
    const auto* text = std::get_if<std::string>(&chunk);
    if (exchange_.clientDisconnected()) {
      co_return AttemptResult::CallerGone;
    }
    if (text == nullptr || text->empty()) {
      break;
    }
    parser.feed(*text);
    while (const auto event = parser.next()) {
      if (!co_await acceptEvent(*event, placement)) {
        exchange_.onDisconnect(nullptr);
        co_return AttemptResult::CallerGone;
      }
    }
    if (parser.isTooLong() || completion_text_.size() > kMaxCompletionBytes) {
      break;
    }
  }
  exchange_.onDisconnect(nullptr);
  if (!complete_) {
    co_return AttemptResult::Resume;
  }
  // Reads the end of the body after the final event, so that the connection can be reused.
  response.setReadTimeout(kBodyEndTimeout);
  co_await response.read();
  co_return AttemptResult::Done;
}

bool ChatRun::belongsToRequest(const json& event) const {
  return event.is_object() && event.value("id", "") == context_.id;
}

void ChatRun::recordUsage(const json& event) {
  if (event.contains("usage")) {
    usage_ = event.at("usage");
  }
}

http::awaitable<bool> ChatRun::acceptEvent(const http::ServerSentEvent& event,
                                           const Placement& placement) {
  const uint64_t number = parseEventNumber(event.id);
  const bool full = out_of_order_events_.size() >= kMaxOutOfOrderEvents ||
                    out_of_order_bytes_ > kMaxOutOfOrderBytes;
  if (number <= last_delivered_ || full) {
    co_return true;
  }
  std::string& held = out_of_order_events_[number];
  out_of_order_bytes_ += event.data.size();
  out_of_order_bytes_ -= held.size();
  held = event.data;
  while (!out_of_order_events_.empty() &&
         out_of_order_events_.begin()->first == last_delivered_ + 1 && !complete_) {
    const std::string data = out_of_order_events_.begin()->second;
    out_of_order_events_.erase(out_of_order_events_.begin());
    out_of_order_bytes_ -= data.size();
    if (!co_await deliver(data, placement)) {
      co_return false;
    }
  }
  co_return true;
}

http::awaitable<bool> ChatRun::deliver(const std::string& data, const Placement& placement) {
  const bool is_last = data == http::kDoneData;
  if (!is_last) {
    const json event = json::parse(data, nullptr, false);
    if (!belongsToRequest(event)) {
      // An event of another request is dropped without using up an event number.
      co_return true;
    }
    recordUsage(event);
    const json choices = event.value("choices", json::array());
    if (!request_.stream && !choices.empty() && choices[0].contains("delta")) {
      completion_text_ += choices[0]["delta"].value("content", "");
    }
  }
  ++last_delivered_;
  complete_ = is_last;
  if (!request_.stream) {
    co_return true;
  }
  if (!co_await startResponse()) {
    co_return false;
  }
  http::ServerSentEvent out;
  out.id = placement.engine.engine + ":" + std::to_string(last_delivered_);
  out.data = data;
  const std::string text = http::formatEvent(out);
  co_return co_await exchange_.write(text);
}

http::awaitable<bool> ChatRun::startResponse() {
  if (response_started_) {
    co_return true;
  }
  response_started_ = true;
  http::Response head(http::Status::ok, 11);
  head.set(http::Field::content_type, "text/event-stream");
  head.set(http::Field::cache_control, "no-store");
  http::setHeader(head, "X-Request-Id", context_.id);
  co_return co_await exchange_.startStream(std::move(head));
}

http::awaitable<void> ChatRun::finishResponse(const Placement& placement) {
  ++stats_.answers_completed_total;
  logOutcome(context_, placement.engine.engine, http::Execution::Completed, 200);
  if (request_.stream) {
    co_await exchange_.finish();
    co_return;
  }
  const json body = {
      {"id", context_.id},
      {"object", "chat.completion"},
      {"model", request_.body.value("model", "")},
      {"choices", json::array({{{"index", 0},
                                {"message", {{"role", "assistant"}, {"content", completion_text_}}},
                                {"finish_reason", "stop"}}})},
      {"usage", usage_},
  };
  http::Response response = http::makeResponse(http::Status::ok, "application/json", body.dump());
  http::setHeader(response, "X-Request-Id", context_.id);
  http::setHeader(response, "X-Engine", placement.engine.engine);
  co_await exchange_.respond(std::move(response));
}

http::awaitable<void> ChatRun::failRequest(http::Problem problem) {
  problem.request_id = context_.id;
  problem.execution = context_.maybe_sent ? http::Execution::Unknown : http::Execution::NotRun;
  ++(context_.maybe_sent ? stats_.answers_unknown_total : stats_.answers_not_run_total);
  logOutcome(context_, "", problem.execution, static_cast<unsigned>(problem.status));
  if (response_started_) {
    // The stream ends without the final event, so that the caller can tell that it is incomplete
    // and resume it through another router.
    exchange_.abort();
    co_return;
  }
  http::Response response = http::makeProblem(problem);
  co_await exchange_.respond(std::move(response));
}

http::awaitable<void> ChatRun::cancelOnRunner(const Placement& placement) {
  http::Request request(http::Verb::delete_, "/v1/requests/" + context_.id, 11);
  http::CallOptions options;
  options.connect_timeout = kConnectTimeout;
  options.read_timeout = kConnectTimeout;
  co_await client_.call(placement.engine.address, std::move(request), options);
}

} // namespace workshatch::daemon

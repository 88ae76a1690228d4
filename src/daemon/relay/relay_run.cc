#include "daemon/relay/relay_run.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/beast/core/string.hpp>

#include "adapters/logging/line_log.h"
#include "core/header_text.h"

namespace workshatch::daemon {

namespace {

constexpr std::chrono::milliseconds kConnectLimit{300};
constexpr uint32_t kRetryAfterFullMs = 150;
constexpr size_t kMostPlainBytes = size_t{16} * 1024 * 1024;
/// A repeatable request leaves a runner that is silent for this many objectives.
constexpr int64_t kPatienceInObjectives = 2;
constexpr int64_t kLeastPatienceMs = 400;
constexpr std::chrono::milliseconds kStreamPatience{1500};
constexpr unsigned kServerErrors = 500;

bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

/// Headers of a runner's answer that concern its connection only.
bool isConnectionHeader(http::Field name) {
  constexpr std::array<http::Field, 7> kNames = {
      http::Field::connection,      http::Field::keep_alive,     http::Field::transfer_encoding,
      http::Field::trailer,         http::Field::content_length, http::Field::upgrade,
      http::Field::proxy_connection};
  return std::find(kNames.begin(), kNames.end(), name) != kNames.end();
}

const char* nameOf(relay::AttemptOutcome outcome) {
  switch (outcome) {
  case relay::AttemptOutcome::Succeeded:
    return "succeeded";
  case relay::AttemptOutcome::Refused:
    return "refused";
  case relay::AttemptOutcome::Misdirected:
    return "misdirected";
  case relay::AttemptOutcome::Unreachable:
    return "unreachable";
  case relay::AttemptOutcome::Failed:
    return "failed";
  case relay::AttemptOutcome::Abandoned:
    return "abandoned";
  }
  return "unknown";
}

} // namespace

RelayRun::RelayRun(boost::asio::io_context& context, RelayState& state, http::Exchange& exchange,
                   RelayRequest request)
    : context_(context), state_(state), exchange_(exchange), request_(std::move(request)),
      deadline_(context) {}

void RelayRun::end() {
  if (connection_) {
    connection_->close();
  }
}

void RelayRun::armDeadline() {
  const int64_t left = request_.deadline_ms - state_.clock.monotonicMs();
  deadline_.expires_after(std::chrono::milliseconds(std::max<int64_t>(left, 0)));
  deadline_.async_wait([weak = weak_from_this()](boost::system::error_code failure) {
    const auto self = weak.lock();
    if (!failure && self) {
      self->timed_out_ = true;
      self->end();
    }
  });
}

http::awaitable<void> RelayRun::run() {
  const auto self = shared_from_this();
  armDeadline();
  exchange_.onHangUp([weak = weak_from_this()] {
    if (const auto run = weak.lock()) {
      run->left_ = true;
      run->end();
    }
  });
  state_.budget.noteRequest(request_.service, request_.received_ms);
  while (!ended()) {
    const auto choice =
        state_.runners.choose(relay::RunnerRequest{.service = request_.service,
                                                   .cache_key = request_.cache_key,
                                                   .draw = request_.draw,
                                                   .zone = state_.zone,
                                                   .excluded = tried_,
                                                   .now_ms = state_.clock.monotonicMs()});
    if (!choice) {
      break;
    }
    if (arrivals_ > 0) {
      if (!state_.budget.takeRepeat(request_.service, state_.clock.monotonicMs())) {
        ++state_.stats.repeats_refused;
        break;
      }
      ++state_.stats.repeats;
      state_.stats.resumed_streams += stream_started_ ? 1 : 0;
    }
    tried_.push_back(choice->runner->entry.id());
    load_at_choice_ = choice->runner->load();
    passed_over_ = choice->passed_over;
    last_end_ = co_await attempt(*choice);
    if (last_end_ == AttemptEnd::Answered || !mayTryAgain(last_end_)) {
      break;
    }
  }
  deadline_.cancel();
  exchange_.onHangUp(nullptr);
  co_await finish();
}

void RelayRun::noteSignOfLife(relay::Runner& runner) {
  state_.runners.noteSignOfLife(runner, state_.clock.monotonicMs());
}

bool RelayRun::mayTryAgain(AttemptEnd last) const {
  if (last != AttemptEnd::Broken) {
    return true;
  }
  return request_.repeatable() && ran_attempts_ < request_.route->max_attempts;
}

std::chrono::milliseconds RelayRun::silenceLimit(bool streaming) const {
  const bool another = request_.repeatable() && ran_attempts_ + 1 < request_.route->max_attempts;
  if (!another) {
    return std::chrono::milliseconds(0);
  }
  if (streaming || request_.route->kind == relay::RouteKind::Streaming) {
    return kStreamPatience;
  }
  return std::chrono::milliseconds(
      std::max(kLeastPatienceMs, kPatienceInObjectives * request_.route->objective_ms));
}

http::awaitable<bool> RelayRun::connect(const relay::Runner& runner) {
  connection_ = state_.connections.take(runner.entry.address());
  if (connection_) {
    co_return true;
  }
  const auto endpoint = http::parseEndpoint(runner.entry.address());
  if (!endpoint) {
    co_return false;
  }
  connection_ = std::make_shared<http::RunnerConnection>(context_);
  const auto error = co_await connection_->connect(*endpoint, kConnectLimit);
  if (error) {
    last_error_ = error->message;
  }
  co_return !error;
}

http::awaitable<RelayRun::AttemptEnd> RelayRun::attempt(const relay::RunnerChoice& choice) {
  relay::Runner& runner = *choice.runner;
  state_.runners.beginAttempt(runner, state_.clock.monotonicMs());
  relay::AttemptOutcome outcome = relay::AttemptOutcome::Unreachable;
  AttemptEnd result = AttemptEnd::Unreachable;
  const bool connected = co_await connect(runner);
  if (connected && !ended()) {
    const int64_t remaining_ms = request_.deadline_ms - state_.clock.monotonicMs();
    ++arrivals_;
    std::string bytes = formatForRunner(
        exchange_.request(), request_, state_,
        AttemptHeaders{.runner_id = runner.entry.id(),
                       .remaining_ms = remaining_ms,
                       .last_event_id = last_event_id_,
                       .fetch_from =
                           choice.likely_holder ? choice.likely_holder->entry.address() : ""});
    const auto error = co_await connection_->exchange(std::move(bytes), silenceLimit(false));
    if (error) {
      last_error_ = error->timed_out ? "silent" : error->message;
      outcome = relay::AttemptOutcome::Failed;
      result = AttemptEnd::Broken;
    } else {
      noteSignOfLife(runner);
      result = co_await takeAnswer(runner, outcome);
    }
  }
  if (result == AttemptEnd::Broken || result == AttemptEnd::Answered) {
    may_have_run_ = true;
    ++ran_attempts_;
  }
  if (ended() && result != AttemptEnd::Answered) {
    outcome = relay::AttemptOutcome::Abandoned;
  }
  state_.runners.endAttempt(runner, outcome, state_.clock.monotonicMs());
  ++state_.stats.attempts[nameOf(outcome)];
  if (connection_ && connection_->reusable()) {
    state_.connections.give(runner.entry.address(), connection_);
  } else if (connection_) {
    connection_->close();
  }
  connection_.reset();
  if (result != AttemptEnd::Answered) {
    line_log::write("attempt_ended", {{"request", request_.id},
                                      {"runner", runner.entry.id()},
                                      {"runner_load", runner.load()},
                                      {"outcome", nameOf(outcome)},
                                      {"error", last_error_},
                                      {"runner_failures", runner.failures_in_row}});
  }
  co_return result;
}

http::awaitable<RelayRun::AttemptEnd> RelayRun::takeAnswer(relay::Runner& runner,
                                                           relay::AttemptOutcome& outcome) {
  const HeaderNames& names = state_.dialect.headers();
  const auto& head = connection_->head();
  const unsigned status = head.result_int();
  const auto id = http::fieldOf(head, names.request_id);
  const bool not_run = http::fieldOf(head, names.not_run).has_value();
  const bool misdirected = head.result() == http::Status::misdirected_request;
  if (id && *id != request_.id) {
    // A late second answer to an earlier request: nothing that follows can be trusted.
    last_error_ = "answer of another request";
    outcome = relay::AttemptOutcome::Failed;
    connection_->close();
    co_return AttemptEnd::Broken;
  }
  const bool declined = (not_run && head.result() != http::Status::bad_request) || misdirected;
  if (declined) {
    outcome = misdirected ? relay::AttemptOutcome::Misdirected : relay::AttemptOutcome::Refused;
    last_error_ = "declined with " + std::to_string(status);
    // The rest of the answer is read only to keep the connection.
    std::string rest = "-";
    while (!rest.empty()) {
      auto part = co_await connection_->read(kConnectLimit);
      if (std::holds_alternative<http::CallError>(part)) {
        connection_->close();
        break;
      }
      rest = std::get<std::string>(part);
    }
    co_return AttemptEnd::NotRun;
  }
  const bool signed_answer = http::fieldOf(head, names.signature).has_value();
  if (isSuccess(status) && (!signed_answer || !id)) {
    last_error_ = "success without signature";
    outcome = relay::AttemptOutcome::Failed;
    connection_->close();
    co_return AttemptEnd::Broken;
  }
  const std::string_view type = http::viewOf(head[http::Field::content_type]);
  const bool streaming = request_.route->kind == relay::RouteKind::Streaming && isSuccess(status) &&
                         type.starts_with("text/event-stream");
  if (streaming) {
    co_return co_await relayStream(runner, outcome);
  }
  if (stream_started_) {
    last_error_ = "no stream to go on with: " + std::to_string(status);
    outcome = relay::AttemptOutcome::Failed;
    connection_->close();
    co_return AttemptEnd::Broken;
  }
  co_return co_await takePlainAnswer(outcome);
}

http::Response RelayRun::answerHead() const {
  const HeaderNames& names = state_.dialect.headers();
  const auto& head = connection_->head();
  http::Response response;
  response.version(11);
  response.result(head.result_int());
  for (const auto& field : head) {
    const bool load = boost::beast::iequals(field.name_string(), names.load);
    if (!load && !isConnectionHeader(field.name()) && isHeaderValue(http::viewOf(field.value()))) {
      response.insert(field.name(), field.name_string(), field.value());
    }
  }
  return response;
}

http::awaitable<RelayRun::AttemptEnd> RelayRun::takePlainAnswer(relay::AttemptOutcome& outcome) {
  http::Response response = answerHead();
  std::string body;
  while (true) {
    auto part = co_await connection_->read(silenceLimit(false));
    if (const auto* error = std::get_if<http::CallError>(&part)) {
      last_error_ = error->timed_out ? "silent" : error->message;
      outcome = relay::AttemptOutcome::Failed;
      co_return AttemptEnd::Broken;
    }
    const std::string& text = std::get<std::string>(part);
    if (text.empty()) {
      break;
    }
    body += text;
    if (body.size() > kMostPlainBytes) {
      last_error_ = "the answer is too large";
      outcome = relay::AttemptOutcome::Failed;
      connection_->close();
      co_return AttemptEnd::Broken;
    }
  }
  response.body() = std::move(body);
  response.prepare_payload();
  const unsigned status = response.result_int();
  if (status >= kServerErrors) {
    outcome = relay::AttemptOutcome::Failed;
    last_error_ = "status " + std::to_string(status);
    failure_ = std::move(response);
    co_return AttemptEnd::Broken;
  }
  outcome = relay::AttemptOutcome::Succeeded;
  state_.stats.answer.add(state_.clock.monotonicMs() - request_.received_ms);
  co_await exchange_.respond(std::move(response));
  co_return AttemptEnd::Answered;
}

http::awaitable<bool> RelayRun::relayEvent(const relay::WholeEvent& event) {
  const int64_t now = state_.clock.monotonicMs();
  if (!stream_started_) {
    stream_started_ = true;
    first_event_ms_ = now;
    state_.stats.first_event.add(now - request_.received_ms);
    http::Response head = answerHead();
    const bool started = co_await exchange_.startStream(std::move(head));
    if (!started) {
      co_return false;
    }
  } else {
    state_.stats.event_gap.add(now - last_event_ms_);
  }
  last_event_ms_ = now;
  ++events_;
  ++state_.stats.events;
  if (!event.id.empty()) {
    last_event_id_ = event.id;
  }
  co_return co_await exchange_.write(event.bytes);
}

http::awaitable<RelayRun::AttemptEnd> RelayRun::relayStream(relay::Runner& runner,
                                                            relay::AttemptOutcome& outcome) {
  relay::EventSplitter splitter;
  while (true) {
    auto part = co_await connection_->read(silenceLimit(true));
    if (const auto* error = std::get_if<http::CallError>(&part)) {
      last_error_ = error->timed_out ? "silent" : error->message;
      outcome = relay::AttemptOutcome::Failed;
      co_return AttemptEnd::Broken;
    }
    const std::string& text = std::get<std::string>(part);
    if (text.empty()) {
      break;
    }
    noteSignOfLife(runner);
    splitter.feed(text);
    while (const auto event = splitter.next()) {
      if (ended()) {
        co_return AttemptEnd::Broken;
      }
      const bool written = co_await relayEvent(*event);
      if (!written) {
        left_ = true;
        connection_->close();
        co_return AttemptEnd::Broken;
      }
    }
  }
  if (splitter.hasPartialEvent() || !stream_started_) {
    last_error_ = "the stream ended within an event";
    outcome = relay::AttemptOutcome::Failed;
    connection_->close();
    co_return AttemptEnd::Broken;
  }
  outcome = relay::AttemptOutcome::Succeeded;
  co_await exchange_.finish();
  co_return AttemptEnd::Answered;
}

http::awaitable<void> RelayRun::refuse(http::Status status, std::string code, std::string detail) {
  http::Problem problem{.status = status,
                        .code = std::move(code),
                        .detail = std::move(detail),
                        .execution =
                            may_have_run_ ? http::Execution::Unknown : http::Execution::NotRun,
                        .request_id = request_.id};
  http::Response response = http::makeProblem(problem);
  if (status == http::Status::service_unavailable) {
    response.set(http::Field::retry_after, state_.dialect.retryAfter(kRetryAfterFullMs));
  }
  co_await exchange_.respond(std::move(response));
}

http::awaitable<void> RelayRun::finish() {
  if (last_end_ == AttemptEnd::Answered) {
    logOutcome("answered");
    co_return;
  }
  if (left_) {
    logOutcome("caller_left");
    exchange_.breakOff();
    co_return;
  }
  if (stream_started_) {
    logOutcome(timed_out_ ? "stream_timed_out" : "stream_broken");
    exchange_.breakOff();
    co_return;
  }
  if (failure_ && !timed_out_) {
    logOutcome("runner_failure");
    co_await exchange_.respond(std::move(*failure_));
    co_return;
  }
  if (!may_have_run_) {
    logOutcome(timed_out_ ? "not_run_timed_out" : "not_run");
    co_await refuse(http::Status::service_unavailable, "no_runner",
                    "no runner could take the request");
    co_return;
  }
  if (timed_out_) {
    logOutcome("timed_out");
    co_await refuse(http::Status::gateway_timeout, "timeout", "the time limit was reached");
    co_return;
  }
  logOutcome("runner_broke_off");
  co_await refuse(http::Status::bad_gateway, "broken", "the runner gave no whole answer");
}

void RelayRun::logOutcome(const std::string& outcome) {
  ++state_.stats.outcomes[outcome];
  const int64_t now = state_.clock.monotonicMs();
  line_log::write("request_ended",
                  {{"request", request_.id},
                   {"outcome", outcome},
                   {"route", request_.route->name},
                   {"service", request_.service},
                   {"tried", tried_},
                   {"runner_load", load_at_choice_},
                   {"passed_over", passed_over_},
                   {"ms", now - request_.received_ms},
                   {"first_ms", stream_started_ ? first_event_ms_ - request_.received_ms : -1},
                   {"events", events_},
                   {"configuration", request_.routes->version()},
                   {"runner_list", state_.runners.listVersion()},
                   {"lease_age_ms", state_.lease.ageMs(now)},
                   {"error", last_error_}});
}

} // namespace workshatch::daemon

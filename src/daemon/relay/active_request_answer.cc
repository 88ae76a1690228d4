/// @file
/// Handling of a runner's response to one attempt, and its relaying to the caller.
#include <algorithm>
#include <array>
#include <utility>

#include <boost/beast/core/string.hpp>

#include "adapters/logging/line_log.h"
#include "core/header_text.h"
#include "daemon/relay/active_request.h"
#include "daemon/relay/answer_body.h"

namespace workshatch::daemon {

namespace {

/// Timeout for reading the rest of a refusal, which allows the connection to be reused.
constexpr std::chrono::milliseconds kRefusalReadTimeout{300};
/// Longest time for which a late copy of a response is read.
constexpr std::chrono::milliseconds kLateCopyTimeout{300};
constexpr size_t kMaxPlainBytes = size_t{16} * 1024 * 1024;
/// Limit of the rest of a refusal, which is read for the connection's sake only.
constexpr size_t kMaxRefusalBytes = size_t{64} * 1024;
constexpr size_t kMaxEventBytes = size_t{1} * 1024 * 1024;
constexpr unsigned kServerErrors = 500;

/// @return the outcome of an attempt that was refused with this proof.
relay::AttemptOutcome outcomeOf(const relay::NotRunProof& proof) {
  switch (proof.basis()) {
  case relay::NotRunProof::Basis::Declined:
    return relay::AttemptOutcome::Refused;
  case relay::NotRunProof::Basis::Misdirected:
    return relay::AttemptOutcome::Misdirected;
  case relay::NotRunProof::Basis::Unsent:
  case relay::NotRunProof::Basis::RefusedByRelay:
    return relay::AttemptOutcome::Withdrawn;
  }
  return relay::AttemptOutcome::Withdrawn;
}

bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

/// @return whether the header concerns only the connection to the runner (hop-by-hop).
bool isConnectionHeader(http::Field name) {
  constexpr std::array<http::Field, 7> kNames = {
      http::Field::connection,      http::Field::keep_alive,     http::Field::transfer_encoding,
      http::Field::trailer,         http::Field::content_length, http::Field::upgrade,
      http::Field::proxy_connection};
  return std::find(kNames.begin(), kNames.end(), name) != kNames.end();
}

} // namespace

/// Waits for the header of the response to the current attempt. On a connection that has served
/// other requests, one late copy of a response to another request may come first: it is discarded.
http::awaitable<std::optional<http::CallError>> ActiveRequest::awaitOwnHead(relay::Runner& runner) {
  auto error = co_await awaitHead(&runner);
  const bool late_copy = !error && kept_connection_ && connection_->hasMarkedEnd() &&
                         statementOfResponse().owner == relay::ResponseOwner::OtherRequest;
  if (!late_copy) {
    co_return error;
  }
  ++state_.stats.late_copies;
  // What else may come late on this connection is not known.
  connection_->preventReuse();
  error = co_await discardLateCopy();
  if (!error) {
    connection_->expectNextResponse();
    error = co_await awaitHead(&runner);
  }
  line_log::write("late_copy_discarded", {{"request", request_.id},
                                          {"runner", runner.entry.id()},
                                          {"error", error ? error->message : ""}});
  co_return error;
}

/// Reads the rest of a response to another request. A late copy arrives whole; a response that goes
/// on is none.
/// @return an error if it has not ended in time or is too large.
http::awaitable<std::optional<http::CallError>> ActiveRequest::discardLateCopy() {
  const int64_t end_ms = state_.clock.monotonicMs() + kLateCopyTimeout.count();
  size_t bytes = 0;
  while (bytes <= kMaxPlainBytes) {
    const auto left = std::chrono::milliseconds(end_ms - state_.clock.monotonicMs());
    if (left.count() <= 0) {
      break;
    }
    const auto part = co_await connection_->read(left);
    if (const auto* error = std::get_if<http::CallError>(&part)) {
      if (error->timed_out) {
        break;
      }
      co_return *error;
    }
    const auto& text = std::get<std::string>(part);
    if (text.empty()) {
      co_return std::nullopt;
    }
    bytes += text.size();
  }
  co_return http::CallError{.phase = http::CallPhase::Sent,
                            .message = "the response has the id of another request",
                            .connection = http::ConnectionState::Open};
}

/// Handles a response which proves that the request was not run. Reads the rest of it
/// only to keep the connection reusable.
http::awaitable<ActiveRequest::AttemptResult>
ActiveRequest::handleRefusal(relay::NotRunProof proof) {
  last_error_ = "declined with " + std::to_string(connection_->head().result_int());
  const bool short_enough = connection_->limitBody(kMaxRefusalBytes);
  std::string rest = "-";
  while (short_enough && !rest.empty()) {
    auto chunk = co_await connection_->read(kRefusalReadTimeout);
    if (std::holds_alternative<http::CallError>(chunk)) {
      connection_->close();
      break;
    }
    rest = std::get<std::string>(chunk);
  }
  if (!short_enough) {
    connection_->close();
  }
  co_return AttemptResult{.end = AttemptEnd::NotRun, .outcome = outcomeOf(proof), .not_run = proof};
}

http::awaitable<ActiveRequest::AttemptResult> ActiveRequest::handleAnswer(relay::Runner& runner) {
  if (response_.owner != relay::ResponseOwner::ThisRequest) {
    // It may be a late duplicate response to an earlier request. No later data on this connection
    // can be attributed to a request reliably.
    co_return broken(response_.owner == relay::ResponseOwner::OtherRequest
                         ? "the response has the id of another request"
                         : "the response does not name the request");
  }
  const auto not_run = relay::NotRunProof::ofRunner(response_);
  const auto& head = connection_->head();
  // A runner that can't read the request says so to its caller.
  if (not_run && head.result() != http::Status::bad_request) {
    co_return co_await handleRefusal(*not_run);
  }
  const unsigned status = head.result_int();
  if (isSuccess(status) && !http::fieldOf(head, state_.dialect.headers().signature)) {
    co_return broken("successful response without a signature");
  }
  if (isSuccess(status) && response_.says_not_run) {
    co_return broken("successful response that says that the request was not run");
  }
  const std::string_view type = http::viewOf(head[http::Field::content_type]);
  const bool streaming = request_.route->kind == relay::RouteKind::Streaming && isSuccess(status) &&
                         type.starts_with("text/event-stream");
  if (streaming) {
    co_return co_await relayStream(&runner);
  }
  if (stream_started_) {
    AttemptResult result = broken("no stream to resume: status " + std::to_string(status));
    result.run_end = relay::RunEnd::Answered;
    co_return result;
  }
  co_return co_await relayPlainAnswer(&runner, not_run);
}

http::Response ActiveRequest::responseHead() const {
  const HeaderNames& names = state_.dialect.headers();
  const auto& head = connection_->head();
  http::Response response;
  response.version(11);
  response.result(head.result_int());
  for (const auto& field : head) {
    const bool load = boost::beast::iequals(field.name_string(), names.load);
    const bool internal = load || isRelayHeader(http::viewOf(field.name_string()));
    if (!internal && !isConnectionHeader(field.name()) &&
        isHeaderValue(http::viewOf(field.value()))) {
      response.insert(field.name(), field.name_string(), field.value());
    }
  }
  return response;
}

http::awaitable<ActiveRequest::AttemptResult>
ActiveRequest::relayPlainAnswer(relay::Runner* runner, std::optional<relay::NotRunProof> not_run) {
  if (!connection_->limitBody(kMaxPlainBytes)) {
    co_return broken("the answer is too large");
  }
  http::Response response = responseHead();
  AnswerBody body(connection_->statedBodyBytes().value_or(kMaxPlainBytes));
  IncompleteAnswer incomplete = countIncompleteAnswer([&body] { body.drop(); });
  while (true) {
    auto chunk = co_await readPart(runner);
    if (const auto* error = std::get_if<http::CallError>(&chunk)) {
      co_return brokenBy(*error);
    }
    const std::string& text = std::get<std::string>(chunk);
    if (text.empty()) {
      break;
    }
    body.append(text);
    incomplete.update(body.heldBytes());
  }
  response.body() = body.take();
  response.prepare_payload();
  const unsigned status = response.result_int();
  if (relay::promisesNotRun(status) && !not_run && !request_.repeatable()) {
    // A caller would take the runner's status for a promise and send the request again.
    last_error_ = "status " + std::to_string(status) + " of a request that may have run";
    co_return AttemptResult{.end = AttemptEnd::Broken, .outcome = relay::AttemptOutcome::Failed};
  }
  if (status >= kServerErrors) {
    // The response is complete, so the connection stays open for reuse.
    last_error_ = "status " + std::to_string(status);
    incomplete.update(0);
    const bool of_runner =
        runner != nullptr || http::fieldOf(response, state_.dialect.headers().signature);
    if (of_runner || !failure_) {
      holdFailure(std::move(response));
    }
    co_return AttemptResult{.end = AttemptEnd::Broken,
                            .outcome = relay::AttemptOutcome::Failed,
                            .not_run = not_run,
                            .run_end = relay::RunEnd::Answered};
  }
  const bool ended_by_close = connection_->endedByClose();
  answer_began_ms_ = isSuccess(status) ? sent_ms_ : 0;
  state_.stats.answer.add(state_.clock.monotonicMs() - request_.received_ms);
  // The runner has completed the request. The time for which a slow caller reads must not count as
  // its service time.
  slot_.release(relay::RequestEnd::Completed);
  co_await exchange_.respond(std::move(response));
  co_return AttemptResult{.end = AttemptEnd::Answered,
                          .outcome = relay::AttemptOutcome::Succeeded,
                          .not_run = not_run,
                          .ended_by_close = ended_by_close};
}

/// Relays an event to the caller.
/// @param received_ms when the event was received
/// @return whether the caller can be written to.
http::awaitable<bool> ActiveRequest::relayEvent(const relay::CompleteEvent& event,
                                                int64_t received_ms) {
  const int64_t now = state_.clock.monotonicMs();
  if (answer_began_ms_ == 0) {
    answer_began_ms_ = now;
  } else if (!parts_answered_ && now - answer_began_ms_ >= relay::kAnswerProvenMs) {
    recordAnsweredParts();
  }
  const int64_t pause_ms = pauses_.recordEvent(received_ms);
  state_.stats.recordPause(request_.demand, pause_ms);
  if (state_.stream_origins && !stream_version_) {
    stream_version_ = attempt_version_;
  }
  // Called only when due: most events are relayed without another coroutine.
  if (originRecordDue()) {
    co_await recordOrigin();
    if (interrupted()) {
      co_return false;
    }
  }
  if (!stream_started_) {
    stream_started_ = true;
    first_event_ms_ = now;
    slot_.recordFirstEvent();
    state_.stats.recordFirstEvent(request_.demand, now - request_.received_ms);
    http::Response head = responseHead();
    if (request_.origin) {
      setStreamVersion(head, *attempt_version_);
    }
    const bool started = co_await exchange_.startStream(std::move(head));
    if (!started) {
      co_return false;
    }
    trackReader();
  } else {
    state_.stats.event_gap.add(now - last_event_ms_);
  }
  last_event_ms_ = now;
  ++events_;
  ++state_.stats.events;
  if (!event.id.empty()) {
    last_event_id_ = event.id;
  }
  exchange_.send(event.bytes);
  if (state_.read_ahead.isFull(exchange_.bufferedBytes())) {
    const bool drained = co_await exchange_.drainTo(state_.read_ahead.lowBytes());
    pauses_.recordReadingResumed(state_.clock.monotonicMs());
    co_return drained;
  }
  co_return exchange_.isWritable();
}

/// Starts the accounting of the bytes that are buffered for the caller.
void ActiveRequest::trackReader() {
  reader_ = state_.read_ahead.open([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->abortSlowReader();
    }
  });
  exchange_.onBufferedBytesChange([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->state_.read_ahead.update(self->reader_, self->exchange_.bufferedBytes(),
                                     self->exchange_.writtenBytes());
    }
  });
}

/// Aborts the request to free the memory of its caller's unread response for other callers.
void ActiveRequest::abortSlowReader() {
  line_log::write("reader_cut", {{"request", request_.id},
                                 {"held_bytes", exchange_.bufferedBytes()},
                                 {"read_bytes", exchange_.writtenBytes()},
                                 {"all_held_bytes", state_.read_ahead.bufferedBytes()},
                                 {"readers", state_.read_ahead.readers()}});
  reader_cut_ = true;
  exchange_.abort();
  interrupt();
}

/// Starts the accounting of the bytes of the response that are held until it arrives completely,
/// and if it is a plain one until the caller has it.
/// @param drop frees them at once, since the attempt that holds them ends only later
IncompleteAnswer ActiveRequest::countIncompleteAnswer(std::function<void()> drop) {
  return IncompleteAnswer(state_.incomplete_answers,
                          [weak = weak_from_this(), drop = std::move(drop)] {
                            drop();
                            if (const auto self = weak.lock()) {
                              self->cutAnswer();
                            }
                          });
}

/// Ends the attempt to free the memory of its response, or the caller's connection if the caller is
/// reading the whole response.
void ActiveRequest::cutAnswer() {
  const bool whole = exchange_.responseStarted() && !stream_started_;
  logAnswerCut(whole);
  if (whole) {
    answered_as_ = "reader_cut";
    exchange_.abort();
  } else {
    connection_->close();
  }
}

void ActiveRequest::logAnswerCut(bool whole) {
  line_log::write("answer_cut", {{"request", request_.id},
                                 {"whole", whole},
                                 {"all_held_bytes", state_.incomplete_answers->bufferedBytes()},
                                 {"answers", state_.incomplete_answers->readers()}});
}

/// Keeps an error response for the case that no other attempt succeeds.
void ActiveRequest::holdFailure(http::Response response) {
  const size_t bytes = response.body().capacity();
  failure_ = std::move(response);
  failure_memory_ =
      std::make_unique<IncompleteAnswer>(state_.incomplete_answers, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->cutFailure();
        }
      });
  failure_memory_->update(bytes);
}

/// Sends the error response that was kept.
http::awaitable<void> ActiveRequest::respondFailure() {
  http::Response response = *std::exchange(failure_, std::nullopt);
  tellForwarder(response);
  co_await exchange_.respond(std::move(response));
}

/// Drops the error response, or ends the caller's connection if the caller is reading it.
void ActiveRequest::cutFailure() {
  const bool reading = !failure_;
  logAnswerCut(reading);
  failure_.reset();
  if (reading) {
    exchange_.abort();
  }
}

http::awaitable<ActiveRequest::AttemptResult> ActiveRequest::relayStream(relay::Runner* runner) {
  relay::EventSplitter splitter(kMaxEventBytes);
  IncompleteAnswer incomplete = countIncompleteAnswer([&splitter] { splitter.drop(); });
  while (true) {
    auto chunk = co_await readPart(runner);
    if (const auto* error = std::get_if<http::CallError>(&chunk)) {
      co_return brokenBy(*error);
    }
    const std::string& text = std::get<std::string>(chunk);
    if (text.empty()) {
      break;
    }
    const int64_t received_ms = state_.clock.monotonicMs();
    if (runner != nullptr) {
      recordActivity(*runner);
    }
    splitter.feed(text);
    while (const auto event = splitter.next()) {
      if (interrupted()) {
        co_return broken(last_error_);
      }
      const bool written = co_await relayEvent(*event, received_ms);
      if (!written) {
        caller_left_ = caller_left_ || !interrupted();
        co_return broken(last_error_);
      }
    }
    if (splitter.isTooLong()) {
      co_return broken("an event is too long");
    }
    incomplete.update(splitter.heldBytes());
  }
  const bool ended_by_close = connection_->endedByClose();
  if (splitter.hasPartialEvent() || !stream_started_) {
    AttemptResult result = broken("the stream ended before or within an event");
    result.closed_by_runner = ended_by_close;
    result.run_end = ended_by_close ? relay::RunEnd::Unknown : relay::RunEnd::Answered;
    co_return result;
  }
  co_await exchange_.finish();
  co_return AttemptResult{.end = AttemptEnd::Answered,
                          .outcome = relay::AttemptOutcome::Succeeded,
                          .ended_by_close = ended_by_close};
}

} // namespace workshatch::daemon

/// @file
/// One attempt of a request at a runner: connecting, sending, and recording the result.
#include <algorithm>
#include <utility>

#include "adapters/logging/line_log.h"
#include "daemon/relay/active_request.h"

namespace workshatch::daemon {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{300};
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
  case relay::AttemptOutcome::ProcessGone:
    return "process_gone";
  case relay::AttemptOutcome::Withdrawn:
    return "withdrawn";
  case relay::AttemptOutcome::Failed:
    return "failed";
  case relay::AttemptOutcome::Abandoned:
    return "abandoned";
  }
  return "unknown";
}

} // namespace

void ActiveRequest::recordActivity(relay::Runner& runner) {
  last_received_ms_ = state_.clock.monotonicMs();
  state_.runners.recordActivity(runner, last_received_ms_);
}

/// @return what the head of a runner's response says about the run of the request.
relay::ResponseStatement ActiveRequest::statementOfResponse() const {
  const HeaderNames& names = state_.dialect.headers();
  const auto& head = connection_->head();
  return relay::ResponseStatement{
      .status = head.result_int(),
      .owner = relay::ownerOfResponse(http::fieldsOf(head, names.request_id), request_.id),
      .says_not_run = http::fieldOf(head, names.not_run).has_value()};
}

/// Applies the notice in the headers of a response: what the runner reports about its state and
/// about further requests to it.
void ActiveRequest::applyNotice(relay::Runner& runner) {
  const auto& head = connection_->head();
  notice_ = state_.dialect.parseRunnerNotice(
      ResponseHead{.status = head.result_int(),
                   .field = [&head](std::string_view name) { return http::fieldOf(head, name); }});
  state_.stats.recordNotice(notice_);
  state_.runners.applyNotice(runner, notice_, state_.clock.monotonicMs());
}

void ActiveRequest::recordBackoffAtSend(const relay::Runner& runner) {
  const int64_t now_ms = state_.clock.monotonicMs();
  backoff_at_send_ms_ = runner.backoff.time.remainingMs(now_ms);
  state_.stats.sent_in_backoff += runner.backoff.holds(now_ms) ? 1 : 0;
}

http::awaitable<ActiveRequest::ConnectOutcome> ActiveRequest::connect(relay::Runner& runner) {
  connection_ = state_.connections.acquire(runner.entry.address());
  kept_connection_ = connection_ != nullptr;
  if (kept_connection_) {
    co_return ConnectOutcome::Connected;
  }
  connection_ = std::make_shared<http::RunnerConnection>(context_);
  const int64_t began_ms = state_.clock.monotonicMs();
  const RunnerDialer dialer(state_.runner_addresses);
  const auto error = co_await dialer.dial(connection_, runner.entry.address(), kConnectTimeout);
  if (!error) {
    state_.runners.recordHeard(runner, state_.clock.monotonicMs());
    if (state_.path_prober) {
      state_.path_prober->recordConnected(runner);
    }
    if (state_.crash_reporter) {
      state_.crash_reporter->recordListening(runner);
    }
    co_return ConnectOutcome::Connected;
  }
  last_error_ = error->message;
  if (!interrupted()) {
    recordConnectFailed(runner, error->refused, began_ms);
  }
  co_return error->refused ? ConnectOutcome::Refused : ConnectOutcome::Failed;
}

/// Records that the runner could not be reached. Without a path prober, a runner that refuses a
/// connection is taken to have ended.
void ActiveRequest::recordConnectFailed(const relay::Runner& runner, bool refused,
                                        int64_t began_ms) {
  if (state_.path_prober) {
    state_.path_prober->recordConnectFailed(runner, refused, began_ms);
  } else if (refused) {
    state_.runners.recordProcessEnded(runner.fingerprint, state_.clock.monotonicMs());
    if (state_.crash_reporter) {
      state_.crash_reporter->recordConnectionRefused(runner.fingerprint);
    }
  }
}

/// @return the shared parts of the prompt as written to logs, in their order.
std::vector<std::string> ActiveRequest::partTexts() const {
  std::vector<std::string> texts;
  for (const uint64_t part : request_.parts) {
    texts.push_back(relay::textOfPart(part));
  }
  return texts;
}

/// Records the result of the attempt in the runner's state, in the counters and in the log.
void ActiveRequest::recordAttemptEnd(relay::Runner& runner, const AttemptResult& result) {
  execution_.recordAttempt(result.not_run);
  declines_ += result.outcome == relay::AttemptOutcome::Refused ? 1 : 0;
  const bool abandoned = interrupted() && result.end != AttemptEnd::Answered;
  const relay::AttemptOutcome outcome =
      abandoned ? relay::AttemptOutcome::Abandoned : result.outcome;
  const int64_t now_ms = state_.clock.monotonicMs();
  state_.runners.endAttempt(runner, outcome, now_ms);
  if (request_.tenant != nullptr) {
    state_.tenants.end(request_.tenant->name);
  }
  if (result.end == AttemptEnd::Answered) {
    state_.retry_after_scheduler.recordCompletion(request_.service, now_ms);
  }
  state_.queue.wakeNext(request_.service);
  ++state_.stats.attempts[nameOf(outcome)];
  if (result.end != AttemptEnd::Answered) {
    const int64_t backoff_asked_ms =
        notice_.backoff_ms ? static_cast<int64_t>(*notice_.backoff_ms) : -1;
    const relay::ServiceEvidence evidence = state_.runners.evidenceOf(request_.service, now_ms);
    line_log::write("attempt_ended", {{"request", request_.id},
                                      {"identity", relay::textOf(request_.identity)},
                                      {"parts", partTexts()},
                                      {"runner", runner.entry.id()},
                                      {"address", runner.entry.address()},
                                      {"kept_connection", kept_connection_},
                                      {"runner_load", runner.load()},
                                      {"outcome", nameOf(outcome)},
                                      {"error", last_error_},
                                      {"phase", sent_ms_ == 0 ? "connecting" : "sent"},
                                      {"retry_charged", attempt_charged_},
                                      {"status", response_.status},
                                      {"says_not_run", response_.says_not_run},
                                      {"response_of", nameOf(response_.owner)},
                                      {"not_run_proof", nameOf(result.not_run)},
                                      {"run_end", nameOf(result.run_end)},
                                      {"ms", now_ms - attempt_began_ms_},
                                      {"service_heard_ms", evidence.heard_ago_ms},
                                      {"runners_avoided", evidence.avoided_by_own},
                                      {"runners_reported", evidence.avoided_by_reports},
                                      {"runners_of_service", evidence.runners},
                                      {"runner_failures", runner.failures_in_row},
                                      {"last_resort", last_resort_},
                                      {"backoff_at_choice_ms", backoff_at_choice_ms_},
                                      {"backoff_at_send_ms", backoff_at_send_ms_},
                                      {"backoff_asked_ms", backoff_asked_ms},
                                      {"backoff_unreadable", notice_.backoff_rejected},
                                      {"leaving", notice_.leaving}});
  }
}

/// Returns the connection to the pool if it is reusable; closes it otherwise.
void ActiveRequest::releaseConnection(const std::string& address) {
  if (connection_ && connection_->reusable()) {
    state_.connections.release(address, connection_);
  } else if (connection_) {
    connection_->close();
  }
  connection_.reset();
}

void ActiveRequest::send(const relay::RunnerChoice& choice) {
  state_.stats.repeated_sends += sent_attempts_ > 0 || !sent_to_.empty() ? 1 : 0;
  if (sent_attempts_++ == 0) {
    state_.runners.rollouts().recordSent(request_.service);
  }
  // The trial is used up by the send, whatever the result of the attempt.
  trial_ = false;
  sent_ms_ = state_.clock.monotonicMs();
  const int64_t remaining_ms = request_.deadline_ms - state_.clock.monotonicMs();
  std::string bytes = formatForRunner(
      exchange_.request(), request_, state_,
      AttemptHeaders{.runner_id = choice.runner->entry.id(),
                     .remaining_ms = remaining_ms,
                     .last_event_id = last_event_id_,
                     .fetch_from = prefix_source_ ? prefix_source_->entry.address() : ""});
  sent_to_.push_back(choice.runner->entry.address());
  connection_->send(std::move(bytes));
}

relay::PromptTarget ActiveRequest::promptTarget(const relay::Runner& runner) const {
  const auto copyUs = [&](uint64_t tokens) {
    return static_cast<uint32_t>(request_.token_copy_us * static_cast<double>(tokens));
  };
  return relay::PromptTarget{.prefix = request_.cache_key,
                             .parent = request_.parent_key,
                             .runner = runner.fingerprint,
                             .part_copy_us = copyUs(request_.cached_tokens),
                             .parent_copy_us = copyUs(request_.parent_tokens)};
}

/// Starts the lookup of a source for the prompt's prefix, which runs while the connection is made.
/// @return the lookup; nullopt if the prompt has no prefix or lookups are disabled.
std::optional<PrefixClient::Lookup> ActiveRequest::lookUpPrefixSource(const relay::Runner& runner) {
  const bool enabled = request_.cache_key != 0 && state_.prefix_client &&
                       state_.policy.part_directory && state_.policy.fetch_cached_parts;
  return enabled ? std::optional(state_.prefix_client->lookUpSource(promptTarget(runner)))
                 : std::nullopt;
}

/// Completes the lookup of a prefix source. Without an answer from the directory, guesses the
/// source from the relay's own tables.
/// @return the source; null if there is none, or none in the permitted regions.
http::awaitable<std::shared_ptr<relay::Runner>>
ActiveRequest::awaitPrefixSource(std::optional<PrefixClient::Lookup> lookup,
                                 const relay::RunnerChoice& choice) {
  std::optional<relay::PrefixSource> answer;
  if (lookup) {
    answer = co_await lookup->answer();
  }
  if (!answer || !answer->known) {
    co_return state_.runners.likelyPrefixSource(runnerRequest(), *choice.runner);
  }
  const auto source = state_.runners.find(answer->runner);
  const bool allowed = source != nullptr && state_.runners.isHome(homeRegions(), *source) &&
                       source->entry.version() == choice.runner->entry.version();
  co_return allowed ? source : nullptr;
}

/// Repeats the checks that may have changed since the runner was chosen: orders of operators,
/// notices of the runner, and the deadline and the lease, which may have expired while the machine
/// was suspended.
/// @return whether the request may still be sent to the runner.
bool ActiveRequest::mayBeSent(const relay::Runner& runner) {
  checkDeadline();
  if (runner.evacuated) {
    last_error_ = "zone evacuated";
    return false;
  }
  if (runner.isLeaving()) {
    last_error_ = "runner is leaving";
    return false;
  }
  if (relay::RunnerTable::isBackingOff(runner, state_.clock.monotonicMs())) {
    last_error_ = "runner requested a backoff";
    return false;
  }
  if (runner.gone) {
    // Another process may listen at its address, also under its id.
    last_error_ = "runner is no longer listed";
    return false;
  }
  if (wasSentTo(runner.entry.address())) {
    last_error_ = "its address has received the request";
    return false;
  }
  if (!state_.runners.isAdmittedByRollout(runner, trial_, stream_version_.has_value())) {
    last_error_ = "version not admitted by the rollout";
    return false;
  }
  if (inQuarantine()) {
    last_error_ = "request in quarantine";
    return false;
  }
  if (lostLease()) {
    last_error_ = "lease expired";
    return false;
  }
  return !interrupted();
}

http::awaitable<ActiveRequest::AttemptResult>
ActiveRequest::callRunner(const relay::RunnerChoice& choice) {
  relay::Runner& runner = *choice.runner;
  auto lookup = lookUpPrefixSource(runner);
  const ConnectOutcome connected = co_await connect(runner);
  if (connected != ConnectOutcome::Connected || interrupted()) {
    const bool gone = connected == ConnectOutcome::Refused;
    co_return notSent(AttemptEnd::Unreachable, gone ? relay::AttemptOutcome::ProcessGone
                                                    : relay::AttemptOutcome::Unreachable);
  }
  prefix_source_ = co_await awaitPrefixSource(std::move(lookup), choice);
  prefix_source_id_ = prefix_source_ ? prefix_source_->entry.id() : "";
  // There must be no suspension point between this check and the send.
  if (!mayBeSent(runner)) {
    co_return notSent(AttemptEnd::Withdrawn, relay::AttemptOutcome::Withdrawn);
  }
  state_.runners.recordSent(runnerRequest(), choice);
  recordBackoffAtSend(runner);
  send(choice);
  const auto error = co_await awaitOwnHead(runner);
  if (error) {
    co_return brokenBy(*error);
  }
  recordActivity(runner);
  response_ = statementOfResponse();
  applyNotice(runner);
  co_return co_await handleAnswer(runner);
}

http::awaitable<ActiveRequest::AttemptEnd>
ActiveRequest::attempt(const relay::RunnerChoice& choice) {
  relay::Runner& runner = *choice.runner;
  sent_ms_ = 0;
  answer_began_ms_ = 0;
  parts_answered_ = false;
  last_received_ms_ = 0;
  backoff_at_send_ms_ = 0;
  notice_ = {};
  response_ = {};
  attempt_began_ms_ = state_.clock.monotonicMs();
  state_.runners.beginAttempt(runner, attempt_began_ms_);
  if (request_.tenant != nullptr) {
    state_.tenants.begin(request_.tenant->name);
  }
  at_runner_ = true;
  attempt_runs_ = 1;
  attempt_address_ = runner.entry.address();
  attempt_version_ = runner.entry.version();
  hung_ = false;
  run_end_ = relay::RunEnd::Unknown;
  run_end_searched_ = false;
  AttemptResult result;
  try {
    result = co_await callRunner(choice);
  } catch (...) {
    endFailedAttempt(runner);
    throw;
  }
  // Before the search for the end of the run, which takes time: other requests may crash the next
  // runner.
  recordForQuarantine(runner, result);
  if (result.end == AttemptEnd::Broken && result.run_end == relay::RunEnd::Unknown) {
    result.run_end = co_await awaitRunEnd(runner);
  }
  run_end_ = result.run_end;
  at_runner_ = false;
  attempt_address_.clear();
  unreached_ += result.end == AttemptEnd::Unreachable && !interrupted() ? 1 : 0;
  releaseConnection(runner.entry.address());
  slot_.release(requestEnd(result));
  const bool reached = result.end == AttemptEnd::Answered || result.end == AttemptEnd::Broken;
  if (!reached && request_.cache_key != 0 && state_.prefix_client) {
    state_.prefix_client->reportNotSent(promptTarget(runner));
  }
  recordForRollout(runner, result);
  recordAttemptEnd(runner, result);
  co_return result.end;
}

/// Releases what an attempt holds that an exception has ended.
void ActiveRequest::endFailedAttempt(relay::Runner& runner) {
  at_runner_ = false;
  attempt_address_.clear();
  if (connection_) {
    connection_->preventReuse();
  }
  releaseConnection(runner.entry.address());
  slot_.release();
  state_.runners.endAttempt(runner, relay::AttemptOutcome::Abandoned, state_.clock.monotonicMs());
  if (request_.tenant != nullptr) {
    state_.tenants.end(request_.tenant->name);
  }
  state_.queue.wakeNext(request_.service);
}

/// Ends an attempt in which nothing was sent.
ActiveRequest::AttemptResult ActiveRequest::notSent(AttemptEnd end,
                                                    relay::AttemptOutcome outcome) const {
  return AttemptResult{
      .end = end, .outcome = outcome, .not_run = relay::NotRunProof::ofUnsent(sent_ms_ != 0)};
}

/// Ends an attempt in which the runner may have run the request without a complete response.
ActiveRequest::AttemptResult ActiveRequest::broken(std::string error) {
  last_error_ = std::move(error);
  connection_->preventReuse();
  return AttemptResult{.end = AttemptEnd::Broken, .outcome = relay::AttemptOutcome::Failed};
}

/// Same as `broken`, for an error of the connection.
ActiveRequest::AttemptResult ActiveRequest::brokenBy(const http::CallError& error) {
  // A runner that was told to end the run has not closed the connection by itself.
  const bool by_runner =
      !error.timed_out && !interrupted() && !hung_ && !connection_->sendingEnded();
  AttemptResult result = broken(error.timed_out ? "silent" : error.message);
  result.closed_by_runner = by_runner;
  result.timed_out = error.timed_out;
  result.run_end = runEndAfter(error);
  return result;
}

/// @return what the failure of the connection shows about the run. That the runner has closed it
/// shows nothing: the run may go on.
relay::RunEnd ActiveRequest::runEndAfter(const http::CallError& error) const {
  if (error.timed_out) {
    return run_end_;
  }
  return error.connection == http::ConnectionState::PeerUnreachable ? relay::RunEnd::OutOfReach
                                                                    : relay::RunEnd::Unknown;
}

/// @return how the request ended, for the measurement of a plain runner. An attempt is no evidence
/// if it ended at a time limit, was ended by the caller or this relay, or did not run.
relay::RequestEnd ActiveRequest::requestEnd(const AttemptResult& result) const {
  if (result.outcome == relay::AttemptOutcome::Refused) {
    return relay::RequestEnd::Declined;
  }
  if (request_.engine) {
    return relay::RequestEnd::NoEvidence;
  }
  if (result.outcome == relay::AttemptOutcome::Succeeded) {
    return relay::RequestEnd::Completed;
  }
  const bool failed = result.outcome == relay::AttemptOutcome::Failed;
  const bool by_runner = failed && !result.timed_out && !interrupted() && !hung_;
  return by_runner ? relay::RequestEnd::Failed : relay::RequestEnd::NoEvidence;
}

/// Records evidence for or against a crash of the runner: that it closed the connection, or that it
/// completed the request.
void ActiveRequest::recordForQuarantine(const relay::Runner& runner, const AttemptResult& result) {
  if (!state_.crash_reporter) {
    return;
  }
  if (result.closed_by_runner || result.ended_by_close) {
    const bool proven = answer_began_ms_ != 0 &&
                        state_.clock.monotonicMs() - answer_began_ms_ >= relay::kAnswerProvenMs;
    state_.crash_reporter->recordDisconnect(
        runner, relay::RunnerCrashMonitor::PresentRequest{
                    .request = request_.identity,
                    .parts = proven ? std::vector<uint64_t>() : request_.parts,
                    .answer_began_ms =
                        result.ended_by_close ? std::optional(answer_began_ms_) : std::nullopt});
  } else if (result.outcome == relay::AttemptOutcome::Succeeded) {
    state_.crash_reporter->recordCompleted(request_.identity);
    recordAnsweredParts();
  }
}

/// Records that the runner has answered the prompt without crashing, if it has.
void ActiveRequest::recordAnsweredParts() {
  if (state_.crash_reporter && answer_began_ms_ != 0 && !request_.parts.empty()) {
    state_.crash_reporter->recordAnswered(request_.parts, answer_began_ms_);
    parts_answered_ = true;
  }
}

} // namespace workshatch::daemon

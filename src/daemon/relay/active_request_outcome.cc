/// @file
/// The end of a request: the final response to its caller, and its entry in the decision log.
#include <algorithm>
#include <utility>

#include "adapters/logging/line_log.h"
#include "core/relay/runner_crash_times.h"
#include "daemon/relay/active_request.h"

namespace workshatch::daemon {

namespace {

/// Retry delay when no runner is available: about the time until another one is found or restarted.
constexpr uint32_t kRetryWithoutRunnerMs = 150;
/// Retry delay when the version of a stream has no runner: about the time in which a crashed runner
/// is replaced by another one of its version.
constexpr uint32_t kRetryWithoutVersionMs = 1000;
/// Bounds of the retry delay while there is no path to the runners, and the range of delays over
/// which callers are spread.
constexpr int64_t kMinRetryWithoutPathMs = 200;
constexpr int64_t kMaxRetryWithoutPathMs = 1000;
constexpr uint64_t kRetrySpreadMs = 250;

} // namespace

/// Refuses a request that has not run, and says so.
http::awaitable<void> ActiveRequest::refuse(const relay::RequestNotRun&, std::string code,
                                            std::string detail) {
  http::Problem problem{.status = http::Status::service_unavailable,
                        .code = std::move(code),
                        .detail = std::move(detail),
                        .execution = http::Execution::NotRun,
                        .request_id = request_.id};
  http::Response response = http::makeProblem(problem);
  const std::optional<uint32_t> retry_after_ms = retryAfterMs();
  if (retry_after_ms) {
    response.set(http::Field::retry_after, state_.dialect.retryAfter(*retry_after_ms));
  }
  if (request_.origin) {
    setPeerRefusal(response, problem.code, sent_to_);
    http::setHeader(response, state_.dialect.headers().request_id, request_.id);
  }
  co_await exchange_.respond(std::move(response));
}

/// Ends a request that may have run without a response of its runner.
http::awaitable<void> ActiveRequest::fail(http::Status status, std::string code,
                                          std::string detail) {
  http::Response response = http::makeProblem(http::Problem{.status = status,
                                                            .code = std::move(code),
                                                            .detail = std::move(detail),
                                                            .execution = http::Execution::Unknown,
                                                            .request_id = request_.id});
  if (request_.origin) {
    http::setHeader(response, state_.dialect.headers().request_id, request_.id);
  }
  tellForwarder(response);
  co_await exchange_.respond(std::move(response));
}

/// @return the retry delay while this relay, and all others as far as it knows, have no path to the
/// runners: the time without one so far, within bounds. Callers are spread over a further
/// `kRetrySpreadMs`.
uint32_t ActiveRequest::retryWithoutPathMs() const {
  const int64_t lost_ms = state_.path_prober->lostForMs(request_.service);
  const int64_t wait_ms = std::clamp(lost_ms, kMinRetryWithoutPathMs, kMaxRetryWithoutPathMs);
  return static_cast<uint32_t>(wait_ms) +
         static_cast<uint32_t>(request_.rank.draw % kRetrySpreadMs);
}

/// @return the retry delay; nullopt if there is no use in coming back.
std::optional<uint32_t> ActiveRequest::retryAfterMs() const {
  if (ended_for_stop_) {
    return relay::kRetryWhileStoppingMs;
  }
  if (version_unknown_) {
    return others_do_not_know_ ? std::nullopt : std::optional(kRetryWithoutRunnerMs);
  }
  if (pathLost()) {
    return retryWithoutPathMs();
  }
  if (const uint64_t* since_ms = state_.quarantine.sinceMs(request_.identity, request_.parts)) {
    return relay::quarantineLeftMs(*since_ms, state_.clock.wallMs());
  }
  const bool returns_later = runnersFull() || runnersBackingOff();
  if (!returns_later || !state_.policy.paced_returns) {
    return stream_version_ ? kRetryWithoutVersionMs : kRetryWithoutRunnerMs;
  }
  const int64_t now_ms = state_.clock.monotonicMs();
  const uint32_t paced_ms = state_.retry_after_scheduler.nextDelayMs(
      request_.service, request_.deadline_ms - now_ms, now_ms);
  if (!runnersBackingOff()) {
    return paced_ms;
  }
  // A runner requests a backoff from each relay separately, so another relay may serve the caller
  // earlier.
  const int64_t backoff_ms = state_.runners.backoffLeftMs(request_.service, now_ms);
  return static_cast<uint32_t>(std::clamp<int64_t>(backoff_ms, 1, paced_ms));
}

http::awaitable<void> ActiveRequest::finish() {
  if (last_end_ == AttemptEnd::Answered) {
    learnOutput();
    logOutcome(answered_as_);
    co_return;
  }
  if (caller_left_) {
    logOutcome("caller_left");
    exchange_.closeIncomplete();
    co_return;
  }
  if (reader_cut_) {
    logOutcome("reader_cut");
    co_return;
  }
  if (stream_started_) {
    // The caller gets all complete events before the connection is aborted.
    co_await exchange_.drainTo(0);
    logOutcome(timed_out_        ? "stream_timed_out"
               : ended_for_stop_ ? "stream_ended_for_stop"
                                 : "stream_broken");
    exchange_.closeIncomplete();
    co_return;
  }
  if (failure_ && !timed_out_) {
    logOutcome("runner_failure");
    co_await respondFailure();
    co_return;
  }
  if (const auto not_run = execution_.notRun()) {
    co_await refuseForWantOfRunner(*not_run);
    co_return;
  }
  if (timed_out_) {
    logOutcome("timed_out");
    co_await fail(http::Status::gateway_timeout, "timeout", "the time limit was reached");
    co_return;
  }
  if (ended_for_stop_) {
    logOutcome("ended_for_stop");
    co_await fail(http::Status::gateway_timeout, "stopping",
                  "this relay had to end before the runner answered");
    co_return;
  }
  logOutcome("runner_broke_off");
  co_await fail(http::Status::bad_gateway, "broken", "the runner gave no whole answer");
}

/// Refuses a request that no runner has run, and that none can take now or is allowed to.
http::awaitable<void> ActiveRequest::refuseForWantOfRunner(const relay::RequestNotRun& proof) {
  if (ended_for_stop_) {
    logOutcome("not_run_before_stop");
    co_await refuse(proof, "stopping", "this relay is about to end");
    co_return;
  }
  if (inQuarantine()) {
    logOutcome("quarantined");
    co_await refuse(proof, "quarantined", "the runners that ran this request ended");
    co_return;
  }
  if (!timed_out_ && lostLease()) {
    logOutcome("lease_lost");
    co_await refuse(proof, "no_lease", "this relay has lost touch with the group");
    co_return;
  }
  if (!timed_out_ && version_unknown_) {
    logOutcome("stream_version_unknown");
    co_await refuse(proof, "stream_version_unknown",
                    "no relay knows which version began this stream");
    co_return;
  }
  std::string code = "no_runner";
  std::string detail = "no runner could take the request";
  if (pathLost()) {
    code = kNoPathCode;
    detail = "this relay has no network path to the runners";
  } else if (runnersBackingOff()) {
    code = "all_backing_off";
    detail = "all runners asked this relay to pause";
  } else if (runnersFull()) {
    code = "all_full";
    detail = "all runners are full";
  } else if (stream_version_) {
    code = "no_runner_of_version";
    detail = "no runner of the version that began this stream could take the request";
  }
  const std::string outcome = code == "no_runner" ? "not_run" : code;
  logOutcome(timed_out_ ? "not_run_timed_out" : outcome);
  co_await refuse(proof, std::move(code), std::move(detail));
}

/// Records the output of a completed stream for the estimates of later requests. The stream of a
/// caller that resumes an earlier one has only the rest of the output.
void ActiveRequest::learnOutput() {
  const relay::Service* service = state_.routes->findService(request_.service);
  if (stream_started_ && !resumesStream() && service != nullptr) {
    state_.demand_estimates.recordOutput(*request_.route, *service, events_);
  }
}

/// Records how long the request lasted, unless no runner may have run it.
void ActiveRequest::recordDuration() {
  if (execution_.notRun()) {
    return;
  }
  if (caller_left_ || ended_for_stop_) {
    // It would have lasted longer.
    recordDurationInProgress();
    return;
  }
  const int64_t now_ms = state_.clock.monotonicMs();
  state_.request_durations.recordEnded(request_.route->name, now_ms - request_.received_ms, now_ms);
}

void ActiveRequest::logOutcome(const std::string& outcome) {
  ++state_.stats.outcomes[outcome];
  const int64_t now = state_.clock.monotonicMs();
  line_log::write(
      "request_ended",
      {{"request", request_.id},
       {"identity", relay::textOf(request_.identity)},
       {"outcome", outcome},
       {"route", request_.route->name},
       {"service", request_.service},
       {"tried", tried_},
       {"versions", tried_versions_},
       {"resumes", request_.resumes},
       {"runner_load", load_at_choice_},
       {"passed_over", passed_over_},
       {"priority", request_.rank.priority},
       {"over_share", request_.rank.over_share},
       {"demand", relay::nameOf(request_.demand.source)},
       {"prompt_tokens", request_.demand.prompt_tokens},
       {"output_tokens", request_.demand.output_tokens},
       {"objective_ms", request_.demand.objective_ms},
       {"pause_objective_ms", request_.demand.pause_objective_ms},
       {"declines", declines_},
       {"possible_runs", execution_.possibleRuns()},
       {"retries_charged", retries_charged_},
       {"reached", sent_to_},
       {"last_resort", last_resort_},
       {"runners_avoided", evidence_.avoided_by_own},
       {"runners_reported", evidence_.avoided_by_reports},
       {"backoff_at_choice_ms", backoff_at_choice_ms_},
       {"backoff_at_send_ms", backoff_at_send_ms_},
       {"forwarded", request_.origin.has_value()},
       {"forwarded_to", peers_tried_},
       {"forward_outcome", forward_outcome_},
       {"path_lost", pathLost()},
       {"part_source", prefix_source_id_},
       {"place_limit", slot_limit_},
       {"places_refused", slots_refused_},
       {"service_time_ms", plain_report_.service_time_ms},
       {"failed_percent", plain_report_.failed_percent},
       {"places_held_back", slots_held_back_},
       {"places_refused_by", slots_refused_by_},
       {"expected_start_ms", expected_start_ms_},
       {"evacuations", state_.runners.evacuationVersion()},
       {"owners_silent", unanswered_claims_},
       {"sums_age_ms", state_.runners.loadTotalsAgeMs(now)},
       {"waited_ms", waited_until_ms_ == 0 ? 0 : waited_until_ms_ - request_.received_ms},
       {"ms", now - request_.received_ms},
       {"first_ms", stream_started_ ? first_event_ms_ - request_.received_ms : -1},
       {"events", events_},
       {"longest_pause_ms", pauses_.longestMs()},
       {"longest_pause_event", pauses_.eventAfterLongest()},
       {"configuration", request_.configuration_version},
       {"runner_list", state_.runners.listVersion()},
       {"lease_age_ms", state_.lease.ageMs(now)},
       {"error", last_error_}});
}

} // namespace workshatch::daemon

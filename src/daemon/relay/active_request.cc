#include "daemon/relay/active_request.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/scheduling/service_reports.h"

namespace workshatch::daemon {

namespace {

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
/// Maximum wait for a slot, as a fraction of the latency objective. A caller that is refused after
/// this wait can still be served in time elsewhere or later.
constexpr double kMaxWaitFraction = 0.2;
/// After this time without any bytes from a runner an attempt may hang because the path to the
/// runners is lost.
constexpr int64_t kHungMs = 400;
/// Number of runners that decline a request, at this relay and at others, after which the whole
/// service is considered full.
constexpr uint32_t kMaxDeclines = 3;

/// @return the name of the reason in the log line `request_ended`.
const char* nameOf(v1::PlaceRefusal refusal) {
  switch (refusal) {
  case v1::PLACE_REFUSAL_LOAD:
    return "load";
  case v1::PLACE_REFUSAL_KV_CACHE:
    return "kv_cache";
  case v1::PLACE_REFUSAL_LATE:
    return "late";
  case v1::PLACE_REFUSAL_HELD_BACK:
    return "held_back";
  default:
    return "unknown";
  }
}

/// @return the number of runners that declined the request at the relay that forwarded it.
size_t declinesBefore(const std::optional<ForwardOrigin>& origin) {
  return origin ? origin->sent_to.size() - std::min<size_t>(origin->runs, origin->sent_to.size())
                : 0;
}

} // namespace

ActiveRequest::ActiveRequest(boost::asio::io_context& context, RelayState& state,
                             http::Exchange& exchange, RelayRequest request)
    : context_(context), state_(state), exchange_(exchange), request_(std::move(request)),
      deadline_(context), wait_(context), execution_(request_.origin ? request_.origin->runs : 0),
      sent_to_(request_.origin ? request_.origin->sent_to : std::vector<std::string>()),
      declines_elsewhere_(declinesBefore(request_.origin)) {}

void ActiveRequest::interrupt() {
  wait_.cancel();
  for (const auto& connection : {connection_, report_connection_}) {
    if (connection) {
      connection->close();
    }
  }
}

void ActiveRequest::armDeadline() {
  const int64_t left = request_.deadline_ms - state_.clock.monotonicMs();
  deadline_.expires_after(std::chrono::milliseconds(std::max<int64_t>(left, 0)));
  deadline_.async_wait([weak = weak_from_this()](boost::system::error_code failure) {
    const auto self = weak.lock();
    if (!failure && self) {
      self->timed_out_ = true;
      self->interrupt();
    }
  });
}

void ActiveRequest::checkDeadline() {
  if (!interrupted() && state_.clock.monotonicMs() >= request_.deadline_ms) {
    timed_out_ = true;
    interrupt();
  }
}

void ActiveRequest::endForStop() {
  if (!interrupted()) {
    ended_for_stop_ = true;
    interrupt();
  }
}

void ActiveRequest::recordDurationInProgress() {
  const int64_t now_ms = state_.clock.monotonicMs();
  state_.request_durations.recordInProgress(request_.route->name, now_ms - request_.received_ms,
                                            now_ms);
}

void ActiveRequest::onPathLost(const std::string& service) {
  if (!at_runner_ || request_.service != service || interrupted()) {
    return;
  }
  const int64_t silent_ms = state_.clock.monotonicMs() - std::max(sent_ms_, last_received_ms_);
  if (sent_ms_ != 0 && silent_ms < kHungMs) {
    return;
  }
  slot_.release();
  if (sent_ms_ == 0) {
    connection_->close();
  } else if (mayMoveOn()) {
    connection_->endWait();
  }
}

void ActiveRequest::checkForSilence(int64_t now_ms) {
  const int64_t last_ms = std::max(sent_ms_, last_received_ms_);
  if (at_runner_ && sent_ms_ != 0 && now_ms - last_ms > kHungMs) {
    state_.path_prober->recordSilence(request_.service);
  }
}

void ActiveRequest::cancelIfQuarantined() {
  if (inQuarantine() && !stream_started_) {
    quarantine_cancelled_ = true;
    interrupt();
  }
}

http::awaitable<void> ActiveRequest::run() {
  const auto self = shared_from_this();
  state_.active_requests.insert(this);
  armDeadline();
  exchange_.onDisconnect([weak = weak_from_this()] {
    if (const auto active_request = weak.lock()) {
      active_request->caller_left_ = true;
      active_request->interrupt();
    }
  });
  if (!request_.origin) {
    state_.budget.recordRequest(request_.service, request_.received_ms);
  }
  // The state of the relay must not refer to this request after an exception either.
  std::exception_ptr failure;
  try {
    co_await tryRunners();
  } catch (...) {
    failure = std::current_exception();
  }
  state_.active_requests.erase(this);
  slot_.release();
  releaseSuccessor();
  returnUnusedTrial();
  deadline_.cancel();
  exchange_.onDisconnect(nullptr);
  try {
    if (!failure) {
      co_await finish();
      recordDuration();
    }
  } catch (...) {
    failure = std::current_exception();
  }
  exchange_.onBufferedBytesChange(nullptr);
  state_.read_ahead.close(reader_);
  if (failure) {
    std::rethrow_exception(failure);
  }
}

/// Tries runners and other relays until the request is answered or may not be tried again.
http::awaitable<void> ActiveRequest::tryRunners() {
  if (resumesStream()) {
    co_await findOrigin();
  }
  // A quarantined request would crash the next runner too, and fail all other requests there.
  while (!interrupted() && !blocked() && !version_unknown_) {
    if (auto peer = successor_ ? std::nullopt : nextPeer()) {
      const bool go_on = co_await forward(*std::move(peer));
      if (!go_on) {
        break;
      }
      continue;
    }
    if (pathLost()) {
      break;
    }
    const auto chosen = co_await nextRunner();
    if (interrupted()) {
      break;
    }
    const auto* choice = std::get_if<relay::RunnerChoice>(&chosen);
    no_runner_ =
        choice == nullptr ? std::optional(std::get<relay::NoRunner>(chosen)) : std::nullopt;
    if (no_runner_ == relay::NoRunner::AllFull && co_await waitForSlot()) {
      continue;
    }
    if (choice == nullptr || !takeRetryFromBudget()) {
      break;
    }
    recordChoice(*choice);
    if (queue_position_.number != 0) {
      // A service that had one free slot may have another one for the next queued request.
      state_.queue.wakeNext(request_.service);
    }
    last_end_ = co_await attempt(*choice);
    if (last_end_ == AttemptEnd::Answered || !mayTryAgain(last_end_)) {
      break;
    }
  }
}

relay::HomeRegions ActiveRequest::homeRegions() const {
  return relay::HomeRegions{
      .of_route = &request_.route->home_regions,
      .of_tenant = request_.tenant == nullptr ? nullptr : &request_.tenant->home_regions};
}

relay::RunnerRequest ActiveRequest::runnerRequest() const {
  return relay::RunnerRequest{.service = request_.service,
                              .cache_key = request_.cache_key,
                              .parent_key = request_.parent_key,
                              .zone = state_.zone,
                              .excluded = tried_,
                              .excluded_addresses = sent_to_,
                              .now_ms = state_.clock.monotonicMs(),
                              .engine = request_.engine,
                              .home_regions = homeRegions(),
                              .rank = request_.rank,
                              .already_counted =
                                  queue_position_.number != 0 || refused_in_search_ != 0,
                              .ignores_limits = stream_started_,
                              .uses_slot_owners = usesSlotOwners(),
                              .refused_slots = refused_in_search_,
                              .demand = request_.demand,
                              .kv_capacity_tokens = request_.kv_capacity_tokens,
                              .trial = trial_,
                              .version = stream_version_,
                              .begins_resumable_stream = beginsResumableStream(),
                              .start_within_ms = plainStartLimitMs(),
                              .unsuitable = unsuitable_};
}

bool ActiveRequest::beginsResumableStream() const {
  const bool begins = !stream_version_ || (resumesStream() && !stream_started_);
  return state_.stream_origins && begins && request_.repeatable() &&
         request_.route->kind == relay::RouteKind::Streaming;
}

/// @return limit of the expected time of a plain request in milliseconds; 0: no limit. The
/// objective of a stream is the time of its first event, while its service time covers the whole
/// stream.
uint32_t ActiveRequest::plainStartLimitMs() const {
  const bool limited = state_.policy.service_times && !request_.engine &&
                       request_.route->kind != relay::RouteKind::Streaming;
  return limited ? static_cast<uint32_t>(relay::kInTimeFraction * request_.route->objective_ms) : 0;
}

bool ActiveRequest::usesSlotOwners() const {
  return state_.slot_client && state_.policy.place_owners;
}

/// Chooses runners until one has a free slot. Where slot owners are used, the owner decides.
http::awaitable<std::variant<relay::RunnerChoice, relay::NoRunner>> ActiveRequest::findSlot() {
  refused_in_search_ = 0;
  unsuitable_.clear();
  takeTrial();
  auto chosen = chooseRunner();
  while (!interrupted()) {
    const auto* choice = std::get_if<relay::RunnerChoice>(&chosen);
    const bool has_slot = choice != nullptr && (!usesSlotOwners() || co_await claimSlot(*choice));
    if (has_slot || (choice == nullptr && !trial_)) {
      break;
    }
    slots_refused_ += choice == nullptr ? 0 : 1;
    if (trial_) {
      // A full version on trial must not prevent the request from being sent to another version.
      returnUnusedTrial();
    } else {
      ++refused_in_search_;
    }
    chosen = chooseRunner();
  }
  co_return chosen;
}

/// @return the demand for a claim; nullopt if it is not known, the runner is no model engine, or
/// slot owners do not count the load of engines (`engine_load`).
std::optional<v1::PromptDemand> ActiveRequest::promptDemand() const {
  const bool known = request_.demand.source != relay::DemandSource::Unknown;
  if (!request_.engine || !known || !state_.policy.engine_load) {
    return std::nullopt;
  }
  v1::PromptDemand demand;
  demand.set_prompt_tokens(request_.demand.prompt_tokens);
  demand.set_output_tokens(request_.demand.output_tokens);
  demand.set_prefix(request_.cache_key);
  demand.set_parent(request_.parent_key);
  demand.set_prefix_tokens(static_cast<uint32_t>(request_.cached_tokens));
  demand.set_parent_tokens(static_cast<uint32_t>(request_.parent_tokens));
  return demand;
}

SlotClaim ActiveRequest::slotClaim(const relay::RunnerChoice& choice, uint32_t cold_ms) const {
  return SlotClaim{.runner = choice.runner->fingerprint,
                   .limit = choice.limit,
                   .cold_ms = cold_ms,
                   .demand = promptDemand(),
                   .prompt_limits = choice.prompt_limits,
                   .start_within_ms = choice.start_within_ms,
                   .max_declines =
                       state_.runners.maxDeclines(request_.service, state_.clock.monotonicMs())};
}

void ActiveRequest::recordRefusal(const SlotClaimResult& reply) {
  ++slots_refused_by_[nameOf(reply.refusal)];
  slots_held_back_ += reply.wait_ms != 0 ? 1 : 0;
}

/// Claims a slot at the runner. @return whether the request may be sent there.
http::awaitable<bool> ActiveRequest::claimSlot(const relay::RunnerChoice& choice) {
  const uint64_t runner = choice.runner->fingerprint;
  if (stream_started_) {
    slot_ = state_.slot_client->takeWithoutClaim(runner);
    co_return true;
  }
  const int64_t now_ms = state_.clock.monotonicMs();
  const uint32_t cold_ms = state_.runners.coldMs(*choice.runner, now_ms);
  const SlotClaim claim = slotClaim(choice, cold_ms);
  SlotClaimResult reply = co_await state_.slot_client->claim(claim);
  if (reply.verdict == SlotVerdict::Unanswered) {
    // Falls back to the load totals. They contain nothing about the pace of a cold runner, so a
    // cold runner is not used.
    ++unanswered_claims_;
    const bool fits = cold_ms == 0 && choice.runner->load() < choice.limit;
    slot_ = fits ? state_.slot_client->takeWithoutClaim(runner) : SlotGuard();
    co_return fits;
  }
  slot_ = std::move(reply.slot);
  state_.runners.recordLoad(*choice.runner, reply.load);
  expected_start_ms_ = reply.expected_start_ms;
  if (reply.verdict == SlotVerdict::Refused) {
    recordRefusal(reply);
  }
  if (reply.wait_ms != 0) {
    state_.runners.recordHoldBack(*choice.runner, reply.wait_ms, state_.clock.monotonicMs());
  }
  const bool usable = recordPlainReport(choice, reply.plain);
  if (!usable) {
    slot_.release();
  }
  const bool granted = reply.verdict == SlotVerdict::Granted && usable;
  co_return granted;
}

/// Records what the owner reported about a plain runner.
/// @return false if the report shows that the runner fails more requests than the others and
/// another runner may replace it.
bool ActiveRequest::recordPlainReport(const relay::RunnerChoice& choice,
                                      const relay::PlainRunnerReport& report) {
  if (request_.engine || !state_.policy.service_times) {
    return true;
  }
  plain_report_ = report;
  const int64_t now_ms = state_.clock.monotonicMs();
  relay::recordServiceReport(*choice.runner, report, now_ms);
  const bool replaceable = !choice.last_resort && !trial_;
  const bool fails = replaceable && state_.runners.isFailing(*choice.runner, now_ms);
  if (fails || report.late) {
    unsuitable_.push_back(choice.runner->fingerprint);
  }
  return !fails;
}

/// Chooses a runner, unless the request is new and must not overtake queued requests of the same or
/// a higher priority.
std::variant<relay::RunnerChoice, relay::NoRunner> ActiveRequest::chooseRunner() {
  const bool is_new_request =
      state_.policy.waiting_line && queue_position_.number == 0 && sent_attempts_ == 0;
  if (is_new_request && state_.queue.hasRequestAhead(request_.service, request_.rank.priority)) {
    return relay::NoRunner::AllFull;
  }
  return state_.runners.choose(runnerRequest());
}

/// Waits in the queue for a slot at any runner of the service.
/// @return whether to choose a runner again; otherwise the request is to be refused.
http::awaitable<bool> ActiveRequest::waitForSlot() {
  const auto max_wait_ms = static_cast<int64_t>(kMaxWaitFraction * request_.route->objective_ms);
  const int64_t left_ms = request_.received_ms + max_wait_ms - state_.clock.monotonicMs();
  if (left_ms <= 0 || !state_.policy.waiting_line) {
    co_return false;
  }
  if (queue_position_.number == 0) {
    queue_position_ = state_.queue.newPosition(request_.rank.priority, request_.deadline_ms);
  }
  bool woken = false;
  wait_.expires_after(std::chrono::milliseconds(left_ms));
  const bool joined = state_.queue.enqueue(
      request_.service, queue_position_, [this, &woken](relay::RequestQueues::WakeReason reason) {
        woken = reason == relay::RequestQueues::WakeReason::SlotMayBeFree;
        wait_.cancel();
      });
  if (!joined) {
    co_return false;
  }
  co_await wait_.async_wait(kAwait);
  state_.queue.remove(request_.service, queue_position_);
  waited_until_ms_ = state_.clock.monotonicMs();
  co_return woken && !interrupted();
}

/// @return the runner that is held for the next attempt, or another one with a free slot.
http::awaitable<std::variant<relay::RunnerChoice, relay::NoRunner>> ActiveRequest::nextRunner() {
  if (successor_) {
    relay::RunnerChoice choice = successor_->choice;
    slot_ = std::move(successor_->slot);
    successor_.reset();
    co_return choice;
  }
  auto chosen = co_await findSlot();
  co_return chosen;
}

/// Takes a retry from the retry budget for the next attempt, unless one is held.
/// @return whether one is held.
bool ActiveRequest::holdRetry() {
  retry_held_ =
      retry_held_ || (state_.policy.repeats &&
                      state_.budget.takeRetry(request_.service, state_.clock.monotonicMs()));
  return retry_held_;
}

/// Takes a retry from the retry budget if the request has been sent before.
/// @return whether the attempt is allowed.
bool ActiveRequest::takeRetryFromBudget() {
  attempt_charged_ = false;
  if (sent_attempts_ == 0) {
    return true;
  }
  if (!holdRetry()) {
    ++state_.stats.repeats_refused;
    return false;
  }
  retry_held_ = false;
  attempt_charged_ = true;
  ++retries_charged_;
  ++state_.stats.repeats;
  state_.stats.resumed_streams += stream_started_ ? 1 : 0;
  return true;
}

void ActiveRequest::recordChoice(const relay::RunnerChoice& choice) {
  tried_.push_back(choice.runner->entry.id());
  tried_versions_.push_back(choice.runner->entry.version());
  load_at_choice_ = choice.runner->load();
  passed_over_ = choice.passed_over;
  slot_limit_ = choice.limit;
  last_resort_ = choice.last_resort;
  const int64_t now_ms = state_.clock.monotonicMs();
  backoff_at_choice_ms_ = choice.runner->backoff.time.remainingMs(now_ms);
  evidence_ = state_.runners.evidenceOf(request_.service, now_ms);
}

bool ActiveRequest::mayTryAgain(AttemptEnd last) const {
  if (last == AttemptEnd::NotRun && declines_ + declines_elsewhere_ >= kMaxDeclines) {
    return false;
  }
  if (last != AttemptEnd::Broken) {
    return true;
  }
  const bool version_known = !stream_started_ || stream_version_ || !state_.stream_origins;
  const bool run_may_go_on =
      request_.route->kind == relay::RouteKind::Streaming && run_end_ == relay::RunEnd::Unknown;
  return version_known && !run_may_go_on && request_.repeatable() &&
         execution_.possibleRuns() < request_.maxRuns();
}

} // namespace workshatch::daemon

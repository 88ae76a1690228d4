#include "daemon/relay/relay_run.h"

#include <algorithm>
#include <utility>

#include "adapters/logging/line_log.h"

namespace workshatch::daemon {

namespace {

constexpr uint32_t kRetryAfterFullMs = 150;

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

bool RelayRun::mayTryAgain(AttemptEnd last) const {
  if (last != AttemptEnd::Broken) {
    return true;
  }
  return request_.repeatable() && ran_attempts_ < request_.route->max_attempts;
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

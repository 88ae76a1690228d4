/// @file
/// A request's part in a rollout: whether the version on trial gets it, and what its end tells of
/// the version that it ran on.
#include <utility>

#include "core/relay/group_state.h"
#include "daemon/relay/active_request.h"

namespace workshatch::daemon {

/// Only a first send counts towards a version on trial, and only while this relay would learn at
/// once that it was rolled back.
void ActiveRequest::takeTrial() {
  if (trial_ || sent_attempts_ != 0 || stream_started_) {
    return;
  }
  trial_ = state_.lease.isFresh(state_.clock.monotonicMs()) &&
           state_.runners.rollouts().takeTrial(request_.service);
}

/// Gives back a trial that was not sent.
void ActiveRequest::returnUnusedTrial() {
  if (std::exchange(trial_, false)) {
    state_.runners.rollouts().returnTrial(request_.service);
  }
}

/// Takes what an attempt tells of the runner's version.
void ActiveRequest::recordForRollout(const relay::Runner& runner, const AttemptResult& result) {
  const v1::Rollout* rollout = state_.runners.rollouts().findRollout(request_.service);
  const bool withdrawn = caller_left_ || quarantine_cancelled_;
  const bool told =
      result.end == AttemptEnd::Answered || (result.end == AttemptEnd::Broken && !withdrawn);
  if (rollout == nullptr || !relay::isInProgress(*rollout) || sent_ms_ == 0 || !told) {
    return;
  }
  relay::VersionOutcome outcome{.route = request_.route->name,
                                .target = runner.entry.version() == rollout->target_version(),
                                .failed = result.end != AttemptEnd::Answered};
  const int64_t now_ms = state_.clock.monotonicMs();
  const bool whole_here = !outcome.failed && ran_attempts_ == 0;
  if (whole_here && stream_started_) {
    outcome.first_ms = static_cast<double>(first_event_ms_ - sent_ms_);
    if (events_ > 1) {
      outcome.step_ms = static_cast<double>(last_event_ms_ - first_event_ms_) / (events_ - 1);
    }
  } else if (whole_here) {
    outcome.step_ms = static_cast<double>(now_ms - sent_ms_);
  }
  state_.rollout_outcomes.record(rollout->id(), outcome);
}

} // namespace workshatch::daemon

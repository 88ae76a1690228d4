/// @file
/// Participation of a request in a rollout: whether the version on trial gets it, and the recording
/// of its outcome for the version on which it ran.
#include <utility>

#include "core/relay/group_state.h"
#include "daemon/relay/active_request.h"

namespace workshatch::daemon {

/// Takes a trial if the rollout grants one. Only first sends use trials, and only while the lease
/// is fresh, so that the relay would receive a rollback without delay.
void ActiveRequest::takeTrial() {
  if (trial_ || sent_attempts_ != 0 || stream_started_ || stream_version_) {
    return;
  }
  trial_ = state_.lease.isFresh(state_.clock.monotonicMs()) &&
           state_.runners.rollouts().takeTrial(request_.service);
}

/// Returns a trial that was taken but not used for a send.
void ActiveRequest::returnUnusedTrial() {
  if (std::exchange(trial_, false)) {
    state_.runners.rollouts().returnTrial(request_.service);
  }
}

/// Records the outcome of an attempt for the version of its runner, while a rollout is in progress.
/// Counts attempts that were answered and attempts that broke, except those that broke because the
/// caller disconnected, the request was quarantined, or the path to the runners was lost.
void ActiveRequest::recordForRollout(const relay::Runner& runner, const AttemptResult& result) {
  const v1::Rollout* rollout = state_.runners.rollouts().findRollout(request_.service);
  const bool withdrawn = caller_left_ || quarantine_cancelled_ || hung_ || ended_for_stop_;
  const bool conclusive =
      result.end == AttemptEnd::Answered || (result.end == AttemptEnd::Broken && !withdrawn);
  if (rollout == nullptr || !relay::isInProgress(*rollout) || sent_ms_ == 0 || !conclusive) {
    return;
  }
  relay::VersionOutcome outcome{.route = request_.route->name,
                                .runner = runner.fingerprint,
                                .target = runner.entry.version() == rollout->target_version(),
                                .failed = result.end != AttemptEnd::Answered};
  const int64_t now_ms = state_.clock.monotonicMs();
  const bool completed_at_first_attempt = !outcome.failed && execution_.possibleRuns() == 0;
  if (completed_at_first_attempt && stream_started_) {
    outcome.first_ms = static_cast<double>(first_event_ms_ - sent_ms_);
    if (events_ > 1) {
      outcome.step_ms = static_cast<double>(last_event_ms_ - first_event_ms_) / (events_ - 1);
    }
  } else if (completed_at_first_attempt) {
    outcome.step_ms = static_cast<double>(now_ms - sent_ms_);
  }
  state_.rollout_outcomes.record(rollout->id(), outcome);
}

} // namespace workshatch::daemon

/// @file
/// What a request does when the runner of its attempt sends nothing: the attempt stays unless
/// another one is certain, and, for a stream, unless its run is known to have ended.
#include <algorithm>
#include <utility>

#include "daemon/relay/active_request.h"

namespace workshatch::daemon {

namespace {

/// A repeatable request is sent to another runner if its runner sends nothing for this multiple of
/// the latency objective, with the minimum below.
constexpr int64_t kSilenceObjectives = 2;
constexpr int64_t kMinSilenceMs = 400;
constexpr std::chrono::milliseconds kStreamSilence{1500};
/// As `kStreamSilence`, for a plain request that another relay may send to several runners: it
/// tries the next one sooner.
constexpr std::chrono::milliseconds kPeerSilence{3000};
/// Time after which it is asked again whether a silent attempt may be given up.
constexpr std::chrono::milliseconds kSilenceCheckPeriod{500};

} // namespace

bool ActiveRequest::mayMoveOn() const {
  return request_.repeatable() && execution_.possibleRuns() + attempt_runs_ < request_.maxRuns();
}

/// @return how long the current attempt may send nothing before it is asked whether it may be given
/// up; zero: it may not.
std::chrono::milliseconds ActiveRequest::silenceLimit() const {
  const bool streaming = request_.route->kind == relay::RouteKind::Streaming;
  // Nothing shows whether a run that another relay began has ended.
  const bool limited = state_.policy.silence_limits && mayMoveOn();
  if (!limited || (!at_runner_ && streaming)) {
    return std::chrono::milliseconds(0);
  }
  if (attempt_runs_ > 1) {
    return kPeerSilence;
  }
  if (streaming) {
    return kStreamSilence;
  }
  return std::chrono::milliseconds(
      std::max(kMinSilenceMs, kSilenceObjectives * request_.route->objective_ms));
}

/// Waits for the header of the response to the current attempt.
/// @param runner null if another relay responds
http::awaitable<std::optional<http::CallError>> ActiveRequest::awaitHead(relay::Runner* runner) {
  std::chrono::milliseconds limit = silenceLimit();
  while (true) {
    auto error = co_await connection_->awaitHead(limit);
    const bool silent = error && error->timed_out;
    const bool ended = !silent || co_await mayGiveUp(runner);
    if (ended) {
      co_return error;
    }
    limit = kSilenceCheckPeriod;
  }
}

/// Waits for the next part of the body of the response to the current attempt.
/// @param runner null if another relay responds
http::awaitable<std::variant<std::string, http::CallError>>
ActiveRequest::readPart(relay::Runner* runner) {
  std::chrono::milliseconds limit = silenceLimit();
  while (true) {
    auto part = co_await connection_->read(limit);
    const auto* error = std::get_if<http::CallError>(&part);
    const bool silent = error != nullptr && error->timed_out;
    const bool ended = !silent || co_await mayGiveUp(runner);
    if (ended) {
      co_return part;
    }
    limit = kSilenceCheckPeriod;
  }
}

/// Decides whether the current attempt, which is silent, may be given up. A sound answer must not
/// be given up for another one that can't be had, and a stream must not go on while its run does.
/// Limit: no slot is held at another relay, so the next one may find its runners full; the retry
/// budget bounds how many requests are given up so while all runners are slow.
/// @param runner null if another relay responds
http::awaitable<bool> ActiveRequest::mayGiveUp(relay::Runner* runner) {
  if (runner == nullptr) {
    co_return nextPeer() && holdRetry();
  }
  const bool held = co_await holdSuccessor();
  if (!held || interrupted()) {
    co_return interrupted();
  }
  if (!connection_->isAwaitingResponse()) {
    // The runner has gone on meanwhile.
    releaseSuccessor();
    co_return false;
  }
  const bool streaming = request_.route->kind == relay::RouteKind::Streaming;
  run_end_ = streaming ? co_await findRunEnd(*runner) : relay::RunEnd::Unknown;
  const bool gives_up = !streaming || run_end_ != relay::RunEnd::Unknown || run_end_searched_;
  if (!gives_up) {
    releaseSuccessor();
  }
  hung_ = gives_up && pathLost();
  co_return gives_up;
}

/// Takes what the next attempt needs: time, a retry, and a slot at another runner or, without a
/// path to the runners, another relay.
/// @return whether it is held.
http::awaitable<bool> ActiveRequest::holdSuccessor() {
  const int64_t left_ms = request_.deadline_ms - state_.clock.monotonicMs();
  const bool no_way = pathLost() && !nextPeer();
  if (left_ms < request_.route->objective_ms || no_way || !holdRetry()) {
    co_return false;
  }
  if (pathLost()) {
    co_return true;
  }
  SlotGuard current = std::exchange(slot_, SlotGuard());
  const auto chosen = co_await findSlot();
  SlotGuard slot = std::exchange(slot_, std::move(current));
  const auto* choice = std::get_if<relay::RunnerChoice>(&chosen);
  if (choice == nullptr || interrupted()) {
    releaseSuccessor();
    co_return false;
  }
  successor_.emplace(Successor{.choice = *choice, .slot = std::move(slot)});
  co_return true;
}

/// Gives back what is held for an attempt that is not made.
void ActiveRequest::releaseSuccessor() {
  successor_.reset();
  if (std::exchange(retry_held_, false)) {
    state_.budget.returnRetry(request_.service);
  }
}

} // namespace workshatch::daemon

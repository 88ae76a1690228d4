/// @file
/// Forwarding of a request to another relay, when this one cannot send it to any runner.
#include <algorithm>
#include <utility>

#include "adapters/logging/line_log.h"
#include "core/address_text.h"
#include "daemon/relay/active_request.h"

namespace workshatch::daemon {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{300};
/// Attempts without a connection after which a request is forwarded although the path to its
/// service is not known to be lost: the caller has waited for one timeout after another.
constexpr uint32_t kUnreachedForForwarding = 2;
/// Number of relays to which a request is forwarded before it is refused.
constexpr size_t kMaxPeers = 3;
constexpr unsigned kServerErrors = 500;

} // namespace

/// @return the relay to forward the request to next; nullopt: it is not to be forwarded, or no
/// relay is known to have a path.
std::optional<std::string> ActiveRequest::nextPeer() const {
  if (!state_.path_prober || request_.origin || peers_tried_.size() >= kMaxPeers) {
    return std::nullopt;
  }
  if (!pathLost() && unreached_ < kUnreachedForForwarding) {
    return std::nullopt;
  }
  const uint64_t draw = request_.rank.draw + peers_tried_.size();
  return state_.peer_relays.choose(request_.service, peers_tried_, draw,
                                   state_.clock.monotonicMs());
}

/// @return the number of runners on which the next relay may run the request. One run is kept for
/// the case that the relay goes away without a response, unless nothing may follow then.
uint32_t ActiveRequest::runsForPeer() const {
  const uint32_t left = request_.maxRuns() - execution_.possibleRuns();
  const bool streaming = request_.route->kind == relay::RouteKind::Streaming;
  return streaming || left <= 1 ? left : left - 1;
}

/// Tells the relay that forwarded the request, if one did, where it may have run.
void ActiveRequest::tellForwarder(http::Response& response) const {
  if (request_.origin) {
    setForwardedRuns(response,
                     ForwardedRuns{.runs = execution_.possibleRuns(), .sent_to = sent_to_});
  }
}

/// Forwards the request to one relay. @return whether to go on with other relays or runners.
http::awaitable<bool> ActiveRequest::forward(std::string peer) {
  if (!takeRetryFromBudget()) {
    co_return false;
  }
  peers_tried_.push_back(peer);
  no_runner_.reset();
  last_end_ = co_await forwardTo(peer);
  const bool answered = last_end_ == AttemptEnd::Answered;
  co_return !answered && mayTryAgain(last_end_);
}

http::awaitable<ActiveRequest::AttemptEnd> ActiveRequest::forwardTo(const std::string& peer) {
  sent_ms_ = 0;
  run_end_ = relay::RunEnd::Unknown;
  reached_by_peer_.clear();
  attempt_runs_ = runsForPeer();
  attempt_began_ms_ = state_.clock.monotonicMs();
  state_.peer_relays.begin(peer);
  AttemptResult result = co_await callPeer(peer);
  const AttemptEnd end = result.end;
  state_.peer_relays.end(peer);
  releaseConnection(withPort(peer, state_.forward_port));
  const int64_t now_ms = state_.clock.monotonicMs();
  const bool broken = end == AttemptEnd::Broken && result.run_end != relay::RunEnd::Answered;
  if ((end == AttemptEnd::Unreachable || broken) && !interrupted()) {
    state_.peer_relays.recordFailure(peer, now_ms);
  }
  execution_.recordAttempt(result.not_run, attempt_runs_);
  ++state_.stats.forwards[forward_outcome_];
  if (end != AttemptEnd::Answered) {
    line_log::write("forward_ended", {{"request", request_.id},
                                      {"relay", peer},
                                      {"outcome", forward_outcome_},
                                      {"error", last_error_},
                                      {"retry_charged", attempt_charged_},
                                      {"reached", reached_by_peer_},
                                      {"ms", now_ms - attempt_began_ms_},
                                      {"path_lost", pathLost()}});
  }
  co_return end;
}

/// Connects to the relay, sends it the request and relays its response.
http::awaitable<ActiveRequest::AttemptResult> ActiveRequest::callPeer(const std::string& peer) {
  forward_outcome_ = "unreachable";
  const std::string address = withPort(peer, state_.forward_port);
  connection_ = state_.connections.acquire(address);
  if (!connection_) {
    const auto endpoint = http::parseEndpoint(address);
    if (!endpoint) {
      last_error_ = "invalid address";
      co_return notSent(AttemptEnd::Unreachable, relay::AttemptOutcome::Unreachable);
    }
    connection_ = std::make_shared<http::RunnerConnection>(context_);
    const auto error = co_await connection_->connect(*endpoint, kConnectTimeout);
    if (error) {
      last_error_ = error->message;
      co_return notSent(AttemptEnd::Unreachable, relay::AttemptOutcome::Unreachable);
    }
  }
  checkDeadline();
  if (interrupted() || blocked()) {
    forward_outcome_ = "withdrawn";
    co_return notSent(AttemptEnd::Withdrawn, relay::AttemptOutcome::Withdrawn);
  }
  ++sent_attempts_;
  sent_ms_ = state_.clock.monotonicMs();
  std::string bytes = formatForPeer(
      exchange_.request(), state_,
      ForwardedAttempt{.origin =
                           ForwardOrigin{.configuration_version = request_.configuration_version,
                                         .runs = execution_.possibleRuns(),
                                         .max_runs = execution_.possibleRuns() + attempt_runs_,
                                         .stream_version = stream_version_,
                                         .sent_to = sent_to_},
                       .remaining_ms = request_.deadline_ms - sent_ms_,
                       .last_event_id = last_event_id_});
  connection_->send(std::move(bytes));
  const auto error = co_await awaitHead(nullptr);
  if (error) {
    forward_outcome_ = "broken";
    co_return brokenBy(*error);
  }
  co_return co_await handlePeerAnswer();
}

http::awaitable<ActiveRequest::AttemptResult> ActiveRequest::handlePeerAnswer() {
  const auto& head = connection_->head();
  const PeerRefusal refusal = peerRefusalOf(head);
  response_ = statementOfResponse();
  response_.says_not_run = refusal != PeerRefusal::None;
  const auto not_run = relay::NotRunProof::ofRelay(response_);
  for (std::string& address : sentToOf(head)) {
    if (!wasSentTo(address)) {
      reached_by_peer_.push_back(address);
      sent_to_.push_back(std::move(address));
    }
  }
  if (not_run && (refusal == PeerRefusal::ByPeer || stream_started_)) {
    forward_outcome_ = "refused";
    if (reached_by_peer_.empty()) {
      // It has reached no runner in this attempt.
      --sent_attempts_;
    }
    declines_elsewhere_ += reached_by_peer_.size();
    co_return co_await handleRefusal(*not_run);
  }
  if (response_.owner != relay::ResponseOwner::ThisRequest) {
    forward_outcome_ = "broken";
    co_return broken("the response of the other relay does not name the request");
  }
  const std::string_view type = http::viewOf(head[http::Field::content_type]);
  const bool stream = type.starts_with("text/event-stream");
  if (stream_started_ && !stream) {
    forward_outcome_ = "not_resumed";
    co_return broken("no stream to resume: status " + std::to_string(head.result_int()));
  }
  attempt_version_ = streamVersionOf(head);
  if (stream && stream_version_ && attempt_version_ != stream_version_) {
    forward_outcome_ = "other_version";
    co_return broken("another version goes on with the stream");
  }
  if (stream) {
    AttemptResult result = co_await relayStream(nullptr);
    forward_outcome_ = result.end == AttemptEnd::Answered ? "answered" : "broken";
    co_return result;
  }
  co_return co_await relayPeerAnswer(refusal, not_run);
}

/// Relays a response of the other relay that is no stream. A failure is kept while another attempt
/// may follow.
http::awaitable<ActiveRequest::AttemptResult>
ActiveRequest::relayPeerAnswer(PeerRefusal refusal, std::optional<relay::NotRunProof> not_run) {
  const auto& head = connection_->head();
  const bool refused = refusal == PeerRefusal::ByService;
  const bool failed = head.result_int() >= kServerErrors;
  if (failed) {
    // A relay of an earlier version has made all attempts that the route allows.
    const uint32_t runs = runsOf(head).value_or(request_.maxRuns());
    attempt_runs_ = runs - std::min(runs, execution_.possibleRuns());
  }
  AttemptResult result = co_await relayPlainAnswer(nullptr, not_run);
  const bool whole =
      result.end == AttemptEnd::Answered || result.run_end == relay::RunEnd::Answered;
  forward_outcome_ = !whole ? "broken" : refused ? "all_full" : failed ? "failed" : "answered";
  const bool streaming = request_.route->kind == relay::RouteKind::Streaming;
  const bool last_attempt = refused || streaming || !mayMoveOn();
  if (failure_ && failed && whole && last_attempt) {
    co_await respondFailure();
    result.end = AttemptEnd::Answered;
  }
  if (result.end == AttemptEnd::Answered && (refused || failed)) {
    answered_as_ = refused ? "forward_refused" : "forward_failed";
  }
  co_return result;
}

} // namespace workshatch::daemon

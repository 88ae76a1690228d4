/// @file
/// Serves one request: makes attempts at runners, one after another, until the caller has a
/// response.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/http/http_server.h"
#include "adapters/http/runner_connection.h"
#include "core/relay/event_splitter.h"
#include "core/relay/request_execution.h"
#include "core/relay/run_end.h"
#include "core/relay/run_report.h"
#include "core/scheduling/event_pauses.h"
#include "daemon/relay/incomplete_answer.h"
#include "daemon/relay/relay_request.h"
#include "daemon/relay/relay_state.h"
#include "daemon/relay/runner_dialer.h"

namespace workshatch::daemon {

/// One request in progress. Must be owned by a shared_ptr. Lives on the relay's event loop; not
/// safe for concurrent use.
///
/// Guarantees:
/// - After a runner may have run a request that is not repeatable, no other runner receives it.
/// - A request may have run on at most `RelayRequest::maxRuns` runners, through whichever relays.
/// - A request is sent to an address once, by whichever relays: a response that names it is the
///   response to that one arrival, and no second copy of an earlier one.
/// - A response with a status that promises that the request has not run is sent only with a proof
///   (`relay::RequestNotRun`), or as the response of a runner to a repeatable request.
/// - A stream goes on at another runner only if its run is known to have ended or to be out of
/// reach
///   (`relay::RunEnd`), and an attempt is given up for its silence only for a successor that is
///   held.
/// - Only complete events reach the caller, and a stream is terminated properly only if its last
///   runner did so.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest> {
public:
  ActiveRequest(boost::asio::io_context& context, RelayState& state, http::Exchange& exchange,
                RelayRequest request);

  /// Serves the request. Returns when the caller has its final response or has disconnected.
  http::awaitable<void> run();

  /// Interrupts the request if its deadline has passed. The deadline timer does the same, but does
  /// not advance while the machine is suspended.
  void checkDeadline();

  /// Ends the request because the process is about to exit: its caller gets a final response, or
  /// the complete events of its stream.
  void endForStop();

  /// Records how long the request has lasted so far.
  void recordDurationInProgress();

  /// Interrupts the attempt in progress if the request is in quarantine and no part of a stream has
  /// been relayed: the request may still be queued at the runner, which would crash when it starts
  /// the request.
  void cancelIfQuarantined();

  /// Ends the request's part in a lost path to the runners of its service: gives its slot up, since
  /// its runner has finished or dropped it, and lets an attempt go that is still connecting. One
  /// that was sent goes on unless another relay can serve the request (`mayGiveUp`): its response
  /// may still arrive.
  void onPathLost(const std::string& service);
  /// Reports to the path prober if the request has heard nothing from its runner for long.
  void checkForSilence(int64_t now_ms);

private:
  /// Result of an attempt as far as the next step of the request depends on it.
  enum class AttemptEnd {
    /// The caller has the complete response.
    Answered,
    /// No connection could be made; nothing was sent.
    Unreachable,
    /// The runner declared that it did not run the request.
    NotRun,
    /// The attempt was cancelled before anything was sent.
    Withdrawn,
    /// The runner may have run the request but did not give a complete response.
    Broken,
  };

  /// Result of an attempt for the request and for the state of the runner.
  struct AttemptResult {
    AttemptEnd end = AttemptEnd::Broken;
    relay::AttemptOutcome outcome = relay::AttemptOutcome::Failed;
    /// Empty: the attempt may have run the request.
    std::optional<relay::NotRunProof> not_run;
    relay::RunEnd run_end = relay::RunEnd::Unknown;
    /// The runner closed the connection while the request was in progress.
    bool closed_by_runner = false;
    /// The response looks complete, but nothing but the end of the connection says so.
    bool ended_by_close = false;
    /// The attempt ended at a time limit.
    bool timed_out = false;
  };

  enum class ConnectOutcome {
    Connected,
    /// Nothing listens at the runner's address.
    Refused,
    /// Timeout or any other error.
    Failed,
  };

  // One attempt (active_request_attempt.cc).
  http::awaitable<void> tryRunners();
  http::awaitable<AttemptEnd> attempt(const relay::RunnerChoice& choice);
  http::awaitable<AttemptResult> callRunner(const relay::RunnerChoice& choice);
  http::awaitable<ConnectOutcome> connect(relay::Runner& runner);
  void recordConnectFailed(const relay::Runner& runner, bool refused, int64_t began_ms);
  void send(const relay::RunnerChoice& choice);
  std::optional<PrefixClient::Lookup> lookUpPrefixSource(const relay::Runner& runner);
  http::awaitable<std::shared_ptr<relay::Runner>>
  awaitPrefixSource(std::optional<PrefixClient::Lookup> lookup, const relay::RunnerChoice& choice);
  relay::PromptTarget promptTarget(const relay::Runner& runner) const;
  AttemptResult notSent(AttemptEnd end, relay::AttemptOutcome outcome) const;
  AttemptResult broken(std::string error);
  AttemptResult brokenBy(const http::CallError& error);
  relay::RunEnd runEndAfter(const http::CallError& error) const;
  relay::RequestEnd requestEnd(const AttemptResult& result) const;
  void recordForQuarantine(const relay::Runner& runner, const AttemptResult& result);
  void recordAnsweredParts();
  std::vector<std::string> partTexts() const;
  void recordAttemptEnd(relay::Runner& runner, const AttemptResult& result);
  void endFailedAttempt(relay::Runner& runner);
  void releaseConnection(const std::string& address);
  void recordActivity(relay::Runner& runner);
  relay::ResponseStatement statementOfResponse() const;
  void applyNotice(relay::Runner& runner);
  void recordBackoffAtSend(const relay::Runner& runner);

  // Handling of the runner's response to an attempt (active_request_answer.cc).
  http::awaitable<AttemptResult> handleAnswer(relay::Runner& runner);
  http::awaitable<std::optional<http::CallError>> awaitOwnHead(relay::Runner& runner);
  http::awaitable<std::optional<http::CallError>> discardLateCopy();
  http::awaitable<AttemptResult> handleRefusal(relay::NotRunProof proof);
  /// @param not_run proof that the response is a refusal; empty: the request may have run
  /// @param runner null if another relay responds
  http::awaitable<AttemptResult> relayPlainAnswer(relay::Runner* runner,
                                                  std::optional<relay::NotRunProof> not_run);
  /// @param runner null if another relay responds
  http::awaitable<AttemptResult> relayStream(relay::Runner* runner);
  http::awaitable<bool> relayEvent(const relay::CompleteEvent& event, int64_t received_ms);
  void trackReader();
  void abortSlowReader();
  IncompleteAnswer countIncompleteAnswer(std::function<void()> drop);
  void cutAnswer();
  void logAnswerCut(bool whole);
  void holdFailure(http::Response response);
  http::awaitable<void> respondFailure();
  void cutFailure();
  http::Response responseHead() const;

  /// A runner at which the next attempt is certain to find a slot.
  struct Successor {
    relay::RunnerChoice choice;
    SlotGuard slot;
  };
  struct ReachProbe;

  // Attempts that send nothing (active_request_silence.cc).
  /// @return whether another attempt may follow one that may have run the request.
  bool mayMoveOn() const;
  std::chrono::milliseconds silenceLimit() const;
  http::awaitable<std::optional<http::CallError>> awaitHead(relay::Runner* runner);
  http::awaitable<std::variant<std::string, http::CallError>> readPart(relay::Runner* runner);
  http::awaitable<bool> mayGiveUp(relay::Runner* runner);
  http::awaitable<bool> holdSuccessor();
  void releaseSuccessor();

  // The end of runs (active_request_run_end.cc).
  http::awaitable<relay::RunEnd> findRunEnd(const relay::Runner& runner);
  std::shared_ptr<ReachProbe> probeReach(const relay::Runner& runner) const;
  http::awaitable<relay::RunEnd> awaitRunEnd(const relay::Runner& runner);
  http::awaitable<relay::RunEnd> searchRunEnd(const relay::Runner& runner);
  bool mayBeAlive(const relay::Runner& runner);
  http::awaitable<std::optional<relay::RunEnd>> askForRunEnd(const relay::Runner& runner,
                                                             relay::RunEndEvidence& evidence);

  // Forwarding to another relay (active_request_forward.cc).
  std::optional<std::string> nextPeer() const;
  uint32_t runsForPeer() const;
  http::awaitable<bool> forward(std::string peer);
  http::awaitable<AttemptEnd> forwardTo(const std::string& peer);
  http::awaitable<AttemptResult> callPeer(const std::string& peer);
  http::awaitable<AttemptResult> handlePeerAnswer();
  /// @param not_run proof that the response is a refusal; empty: the request may have run
  http::awaitable<AttemptResult> relayPeerAnswer(PeerRefusal refusal,
                                                 std::optional<relay::NotRunProof> not_run);
  void tellForwarder(http::Response& response) const;
  bool pathLost() const {
    return state_.path_prober && state_.path_prober->isLost(request_.service);
  }

  // Software versions of streams (active_request_version.cc).
  bool resumesStream() const;
  bool beginsResumableStream() const;
  bool recordsOrigin() const;
  relay::StreamId streamId() const;
  http::awaitable<void> findOrigin();
  bool originRecordDue() const;
  http::awaitable<void> recordOrigin();

  // Participation in a rollout (active_request_rollout.cc).
  void takeTrial();
  void returnUnusedTrial();
  void recordForRollout(const relay::Runner& runner, const AttemptResult& result);

  // Final response and decision log (active_request_outcome.cc).
  http::awaitable<void> finish();
  http::awaitable<void> refuse(const relay::RequestNotRun& proof, std::string code,
                               std::string detail);
  http::awaitable<void> refuseForWantOfRunner(const relay::RequestNotRun& proof);
  http::awaitable<void> fail(http::Status status, std::string code, std::string detail);
  std::optional<uint32_t> retryAfterMs() const;
  uint32_t retryWithoutPathMs() const;
  void learnOutput();
  void recordDuration();
  void logOutcome(const std::string& outcome);

  // Main loop, choice of runners and waiting for slots (active_request.cc).
  relay::HomeRegions homeRegions() const;
  relay::RunnerRequest runnerRequest() const;
  std::variant<relay::RunnerChoice, relay::NoRunner> chooseRunner();
  http::awaitable<std::variant<relay::RunnerChoice, relay::NoRunner>> findSlot();
  http::awaitable<bool> claimSlot(const relay::RunnerChoice& choice);
  SlotClaim slotClaim(const relay::RunnerChoice& choice, uint32_t cold_ms) const;
  std::optional<v1::PromptDemand> promptDemand() const;
  void recordRefusal(const SlotClaimResult& reply);
  bool usesSlotOwners() const;
  uint32_t plainStartLimitMs() const;
  bool recordPlainReport(const relay::RunnerChoice& choice, const relay::PlainRunnerReport& report);
  http::awaitable<bool> waitForSlot();
  bool holdRetry();
  bool takeRetryFromBudget();
  http::awaitable<std::variant<relay::RunnerChoice, relay::NoRunner>> nextRunner();
  void recordChoice(const relay::RunnerChoice& choice);

  bool interrupted() const {
    return caller_left_ || timed_out_ || quarantine_cancelled_ || reader_cut_ || ended_for_stop_;
  }
  bool inQuarantine() const {
    return state_.quarantine.contains(request_.identity, request_.parts);
  }
  /// @return whether the request depends on a lease that has expired, so that its key may have been
  /// revoked without the relay's knowledge.
  bool lostLease() const {
    return request_.tenant != nullptr && !state_.lease.holds(state_.clock.monotonicMs());
  }
  /// @return whether the request must not be sent to any runner.
  bool blocked() const { return inQuarantine() || lostLease(); }
  bool wasSentTo(const std::string& address) const {
    return std::find(sent_to_.begin(), sent_to_.end(), address) != sent_to_.end();
  }
  bool mayBeSent(const relay::Runner& runner);
  bool mayTryAgain(AttemptEnd last) const;
  /// @return whether the request failed because runners are temporarily full.
  bool runnersFull() const { return no_runner_ == relay::NoRunner::AllFull || declines_ > 0; }
  bool runnersBackingOff() const { return no_runner_ == relay::NoRunner::AllBackingOff; }
  void armDeadline();
  void interrupt();

  boost::asio::io_context& context_;
  RelayState& state_;
  http::Exchange& exchange_;
  const RelayRequest request_;
  boost::asio::steady_timer deadline_;
  /// Limits the wait for a slot; cancelled when the wait ends early.
  boost::asio::steady_timer wait_;
  std::shared_ptr<http::RunnerConnection> connection_;

  /// The caller has closed its connection or can't be written to.
  bool caller_left_ = false;
  bool timed_out_ = false;
  /// The request was aborted because its caller read too slowly and the memory bound was reached.
  bool reader_cut_ = false;
  /// Id in the accounting of buffered bytes; zero before the stream starts.
  relay::ReadAheadBudget::Reader reader_ = 0;
  /// The request was put into quarantine while an attempt was in progress.
  bool quarantine_cancelled_ = false;
  /// The request was ended because the process is about to exit.
  bool ended_for_stop_ = false;
  /// Held for the next attempt while the current one is still in progress.
  std::optional<Successor> successor_;
  /// A retry was taken from the budget for an attempt that has not been made yet.
  bool retry_held_ = false;
  /// Whether the current attempt has used a retry of the budget, and how many attempts have.
  bool attempt_charged_ = false;
  uint32_t retries_charged_ = 0;
  /// What shows that the run of the last attempt has ended.
  relay::RunEnd run_end_ = relay::RunEnd::Unknown;
  /// The end of the current attempt's run was looked for; its connection is closed.
  bool run_end_searched_ = false;
  /// Connection on which the runner of the attempt is asked for its report; null: it was not asked.
  std::shared_ptr<http::RunnerConnection> report_connection_;
  /// Where runners may have run the request.
  relay::RequestExecution execution_;
  /// Number of runners that may run the request through the current attempt; several, if another
  /// relay makes it.
  uint32_t attempt_runs_ = 1;
  /// Addresses of the runners that have received the request, from this relay or the one that
  /// forwarded it.
  std::vector<std::string> sent_to_;
  bool stream_started_ = false;
  /// Attempts in which the request may have reached a runner, from here or from the relay that it
  /// was forwarded to, and how many of them the runner declined here.
  uint32_t sent_attempts_ = 0;
  uint32_t declines_ = 0;
  /// Number of runners that declined the request at other relays, as far as they told.
  size_t declines_elsewhere_ = 0;
  /// Why the last search found no runner; nullopt if it found one.
  std::optional<relay::NoRunner> no_runner_;
  /// Position in the queue; its number is zero until the request waits for the first time.
  relay::QueuePosition queue_position_;
  /// When the last wait for a slot ended; zero if there was none.
  int64_t waited_until_ms_ = 0;
  /// Attempts whose connection did not come up.
  uint32_t unreached_ = 0;
  /// Address of the runner of the current attempt; empty: there is none.
  std::string attempt_address_;
  /// The current attempt is one at a runner.
  bool at_runner_ = false;
  /// The current attempt uses a connection that has served other requests.
  bool kept_connection_ = false;
  /// The current attempt was given up while the path to the runners was lost.
  bool hung_ = false;
  /// When the current attempt last received anything from its runner; zero: it has not.
  int64_t last_received_ms_ = 0;
  /// Addresses of the relays to which the request was forwarded, and how the last of them
  /// responded.
  std::vector<std::string> peers_tried_;
  std::string forward_outcome_;
  /// Addresses of the runners to which the other relay of the current attempt has sent the request,
  /// as far as it has told them.
  std::vector<std::string> reached_by_peer_;
  /// Outcome of an answered request in the log.
  std::string answered_as_ = "answered";
  /// Version of the runner that began the stream; no other version may go on with it. Empty while
  /// the stream has not begun.
  std::optional<std::string> stream_version_;
  /// Version of the runner of the current attempt; empty if another relay responds that does not
  /// tell it.
  std::optional<std::string> attempt_version_;
  /// Nobody knows the version of the runner that began the stream which the caller resumes.
  bool version_unknown_ = false;
  /// Other relays have answered that they do not know it either.
  bool others_do_not_know_ = false;
  /// When the origin of the stream was last recorded; zero: it was not.
  int64_t recorded_ms_ = 0;
  /// Ids of the runners that were chosen for attempts, and the versions of their software.
  std::vector<std::string> tried_;
  std::vector<std::string> tried_versions_;
  /// The request uses a trial of the version on trial and has not been sent yet.
  bool trial_ = false;
  /// Claims for a slot that were refused, in the current search and in all searches.
  uint32_t refused_in_search_ = 0;
  uint32_t slots_refused_ = 0;
  /// Runners that turned out to be unsuitable in the current search, as in `RunnerRequest`.
  std::vector<uint64_t> unsuitable_;
  /// Claims that were refused because the runner was cold or its zone evacuated.
  uint32_t slots_held_back_ = 0;
  /// Refused claims, by the name of the reason in the log.
  std::map<std::string, uint32_t> slots_refused_by_;
  /// Milliseconds from the grant to the first event, or to the end of a plain request, as expected
  /// by the last owner that answered; zero: not known.
  uint32_t expected_start_ms_ = 0;
  /// Claims that the owner did not answer in time.
  uint32_t unanswered_claims_ = 0;
  /// The slot at the runner of the current attempt.
  SlotGuard slot_;
  /// Inputs of the last choice of a runner, for the log.
  uint32_t load_at_choice_ = 0;
  uint32_t passed_over_ = 0;
  uint32_t slot_limit_ = 0;
  /// Report about the last plain runner that was asked for a slot, from its slot owner.
  relay::PlainRunnerReport plain_report_;
  bool last_resort_ = false;
  /// Remaining backoff of the runner when it was chosen and when the request was sent.
  int64_t backoff_at_choice_ms_ = 0;
  int64_t backoff_at_send_ms_ = 0;
  /// What was known about the runners of the service when the last one was chosen.
  relay::ServiceEvidence evidence_;
  /// When the current attempt began.
  int64_t attempt_began_ms_ = 0;
  /// What the response to the current attempt says; status zero: there was none.
  relay::ResponseStatement response_;
  /// What the current attempt's runner reported about itself in its response headers.
  relay::RunnerNotice notice_;
  /// Id of the last prefix source, for the log; empty if there was none.
  std::string prefix_source_id_;
  /// Runner from which the current attempt's runner copies the prompt prefix; null if none.
  std::shared_ptr<relay::Runner> prefix_source_;
  std::string last_event_id_;
  /// When the runner of the current attempt began to answer with success; zero: it has not.
  int64_t answer_began_ms_ = 0;
  /// The current attempt has shown that the parts of the prompt do not crash runners.
  bool parts_answered_ = false;
  /// When the request was sent in the current attempt; zero if it was not.
  int64_t sent_ms_ = 0;
  int64_t first_event_ms_ = 0;
  int64_t last_event_ms_ = 0;
  uint32_t events_ = 0;
  relay::EventPauses pauses_;
  /// The last error response of a runner, relayed to the caller if no other attempt succeeds.
  std::optional<http::Response> failure_;
  /// Counts the body of `failure_`; null: there is none.
  std::unique_ptr<IncompleteAnswer> failure_memory_;
  std::string last_error_;
  AttemptEnd last_end_ = AttemptEnd::Unreachable;
};

} // namespace workshatch::daemon

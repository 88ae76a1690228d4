/// @file
/// Serves one request: attempts at runners, one after another, until the caller has its answer.
#pragma once

#include <chrono>
#include <cstdint>
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
#include "daemon/relay/relay_request.h"
#include "daemon/relay/relay_state.h"

namespace workshatch::daemon {

/// One request in progress. Lives on the relay's event loop.
///
/// Guarantees: a request that may not be repeated is sent to no runner after one that may have run
/// it; a refusal with 503 means that no runner has run it; only whole events reach the caller, and
/// a stream looks complete only when its last runner ended it.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest> {
public:
  ActiveRequest(boost::asio::io_context& context, RelayState& state, http::Exchange& exchange,
                RelayRequest request);

  /// Returns once the caller has its final answer or is gone.
  http::awaitable<void> run();

  /// Ends the request if its time is over. Its timer does the same, but stands still while the
  /// machine sleeps.
  void checkDeadline();

  /// Takes the request back from its runner if it has come into quarantine and nothing of an answer
  /// has come: it may wait there, and would end the runner when it begins.
  void cancelIfQuarantined();

private:
  /// How one attempt ended, as far as the next step depends on it.
  enum class AttemptEnd {
    /// The caller has its whole answer.
    Answered,
    /// No connection: no byte was sent.
    Unreachable,
    /// The runner said that it did not run the request.
    NotRun,
    /// The runner was withdrawn before a byte was sent.
    Withdrawn,
    /// The request may have run; no whole answer came.
    Broken,
  };

  /// How an attempt ended for the request and for what is known of the runner.
  struct AttemptResult {
    AttemptEnd end = AttemptEnd::Unreachable;
    relay::AttemptOutcome outcome = relay::AttemptOutcome::Unreachable;
    /// The runner ended the connection while the request was in progress.
    bool closed_by_runner = false;
  };

  enum class ConnectOutcome {
    Connected,
    /// Nobody listens at the runner's address.
    Refused,
    /// No answer in time, or another error.
    Failed,
  };

  // One attempt (relay_attempt.cc).
  http::awaitable<AttemptEnd> attempt(const relay::RunnerChoice& choice);
  http::awaitable<AttemptResult> callRunner(const relay::RunnerChoice& choice);
  http::awaitable<ConnectOutcome> connect(const relay::Runner& runner);
  http::awaitable<std::optional<http::CallError>> send(const relay::RunnerChoice& choice);
  std::optional<PrefixClient::Lookup> lookUpPrefixSource(const relay::Runner& runner);
  http::awaitable<std::shared_ptr<relay::Runner>>
  awaitPrefixSource(std::optional<PrefixClient::Lookup> question,
                    const relay::RunnerChoice& choice);
  relay::PromptTarget promptTarget(const relay::Runner& runner) const;
  AttemptResult broken(std::string error);
  AttemptResult brokenBy(const http::CallError& error);
  void recordForQuarantine(const relay::Runner& runner, const AttemptResult& result);
  void recordAttemptEnd(relay::Runner& runner, const AttemptResult& result);
  void releaseConnection(const relay::Runner& runner);
  std::chrono::milliseconds silenceTimeout(bool streaming) const;
  void recordActivity(relay::Runner& runner);
  void applyNotice(relay::Runner& runner);
  void recordBackoffAtSend(const relay::Runner& runner);

  // The answer to an attempt (relay_answer.cc).
  http::awaitable<AttemptResult> handleAnswer(relay::Runner& runner);
  http::awaitable<AttemptResult> handleRefusal(relay::AttemptOutcome outcome);
  http::awaitable<AttemptResult> relayPlainAnswer();
  http::awaitable<AttemptResult> relayStream(relay::Runner& runner);
  http::awaitable<bool> relayEvent(const relay::CompleteEvent& event);
  void trackReader();
  void abortSlowReader();
  http::Response responseHead() const;

  // The request's part in a rollout (relay_trial.cc).
  void takeTrial();
  void returnUnusedTrial();
  void recordForRollout(const relay::Runner& runner, const AttemptResult& result);

  // Its end (relay_outcome.cc).
  http::awaitable<void> finish();
  http::awaitable<void> refuse(http::Status status, std::string code, std::string detail);
  http::awaitable<void> refuseNotRun();
  uint32_t retryAfterMs() const;
  void logOutcome(const std::string& outcome);

  // The request as a whole (relay_run.cc).
  relay::HomeRegions homeRegions() const;
  relay::RunnerRequest runnerRequest() const;
  std::variant<relay::RunnerChoice, relay::NoRunner> chooseRunner();
  http::awaitable<std::variant<relay::RunnerChoice, relay::NoRunner>> findSlot();
  http::awaitable<bool> claimSlot(const relay::RunnerChoice& choice);
  bool usesSlotOwners() const;
  http::awaitable<bool> waitForSlot();
  bool takeRepeatFromBudget();
  void recordChoice(const relay::RunnerChoice& choice);

  bool interrupted() const {
    return caller_left_ || timed_out_ || quarantine_cancelled_ || reader_cut_;
  }
  bool inQuarantine() const { return state_.quarantine.contains(request_.identity); }
  /// The relay may not rely on its configuration any more: the key may have been revoked.
  bool lostLease() const {
    return request_.tenant != nullptr && !state_.lease.holds(state_.clock.monotonicMs());
  }
  /// No runner may get the request, now or later.
  bool blocked() const { return inQuarantine() || lostLease(); }
  bool mayBeSent(const relay::Runner& runner);
  bool mayTryAgain(AttemptEnd last) const;
  /// Runners have no room for the request now, and may have later.
  bool runnersFull() const { return no_runner_ == relay::NoRunner::AllFull || declines_ > 0; }
  bool runnersBackingOff() const { return no_runner_ == relay::NoRunner::AllBackingOff; }
  void armDeadline();
  void end();

  boost::asio::io_context& context_;
  RelayState& state_;
  http::Exchange& exchange_;
  const RelayRequest request_;
  boost::asio::steady_timer deadline_;
  /// Ends the wait for a place.
  boost::asio::steady_timer wait_;
  std::shared_ptr<http::RunnerConnection> connection_;

  /// The caller has closed its connection.
  bool caller_left_ = false;
  bool timed_out_ = false;
  /// The caller read too slowly, and others needed the memory.
  bool reader_cut_ = false;
  /// Counts what is held for the caller; zero: nothing was yet.
  relay::ReadAheadBudget::Reader reader_ = 0;
  /// It came into quarantine while a runner had it.
  bool quarantine_cancelled_ = false;
  /// A runner may have run the request.
  bool may_have_run_ = false;
  bool stream_started_ = false;
  uint32_t ran_attempts_ = 0;
  /// Attempts that reached a runner, and those of them that the runner declined.
  uint32_t sent_attempts_ = 0;
  uint32_t declines_ = 0;
  /// Why the last search for a runner found none; nothing: it found one.
  std::optional<relay::NoRunner> no_runner_;
  /// Place in the line; its number is zero before the request first waited.
  relay::QueuePosition queue_position_;
  /// When the last wait for a place ended.
  int64_t waited_until_ms_ = 0;
  std::vector<std::string> tried_;
  /// The request is one of those that a version on trial gets; it has not been sent yet.
  bool trial_ = false;
  /// Owners that gave no place, in the present search for one and in all.
  uint32_t refused_in_search_ = 0;
  uint32_t slots_refused_ = 0;
  /// Owners that gave no place since the runner was cold or its zone evacuated.
  uint32_t slots_held_back_ = 0;
  /// Owners that did not answer in time.
  uint32_t unanswered_claims_ = 0;
  /// The place at the runner of the present attempt.
  SlotGuard slot_;
  /// What the last choice of a runner rested on, for the log.
  uint32_t load_at_choice_ = 0;
  uint32_t passed_over_ = 0;
  uint32_t slot_limit_ = 0;
  bool last_resort_ = false;
  /// Milliseconds for which the runner wanted no requests when it was chosen, and when the request
  /// was sent.
  int64_t backoff_at_choice_ms_ = 0;
  int64_t backoff_at_send_ms_ = 0;
  /// What the answer of the present attempt says of its runner.
  relay::RunnerNotice notice_;
  std::string prefix_source_id_;
  /// From which runner the present attempt's runner takes parts; null: from none.
  std::shared_ptr<relay::Runner> prefix_source_;
  std::string last_event_id_;
  /// When the present attempt was sent; zero: it was not.
  int64_t sent_ms_ = 0;
  int64_t first_event_ms_ = 0;
  int64_t last_event_ms_ = 0;
  uint32_t events_ = 0;
  /// The last failure that a runner answered itself, for the caller when nothing better comes.
  std::optional<http::Response> failure_;
  std::string last_error_;
  AttemptEnd last_end_ = AttemptEnd::Unreachable;
};

} // namespace workshatch::daemon

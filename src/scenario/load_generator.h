/// @file
/// Load generator of a scenario: simulated callers that send requests through the routers, retry
/// them, and record the result of every attempt.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "adapters/http/http_client.h"
#include "adapters/system_clock.h"
#include "adapters/worker_pool.h"
#include "ports/seeded_random.h"

namespace workshatch::scenario {

enum class AttemptOutcome {
  Completed,
  /// The router reported that the request did not run.
  NotRun,
  /// The router reported that it is not known whether the request ran.
  Unknown,
  /// No complete response arrived, for example because the router crashed.
  Lost,
  /// The router rejected the request as invalid.
  Rejected,
};

/// Result of one attempt to send a request. Attempts have ids of their own, except that a resumed
/// stream keeps the id of its request.
struct AttemptResult {
  std::string id;
  /// Idempotency key of a request that must not run twice; empty for a repeatable request.
  std::string key;
  AttemptOutcome outcome = AttemptOutcome::Lost;
  unsigned status = 0;
  std::string body;
  bool has_retry_after = false;
  /// Time until the response was complete or lost.
  int64_t duration_ms = 0;
  /// Time until the first stream event; zero if there was none.
  int64_t first_event_ms = 0;
  std::string tenant;
  /// Address of the router that received the request.
  std::string address;
  /// When the response was complete or lost, milliseconds since the epoch.
  uint64_t ended_at_ms = 0;
  /// For a lost response: description of the error.
  std::string loss_reason;
};

/// One turn of a chat session, over all its attempts.
struct ChatTurn {
  std::string id;
  std::string expected_text;
  std::string text;
  /// Events that were duplicated, out of order or of another request.
  uint64_t misplaced_events = 0;
  bool complete = false;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
};

/// Options of the scenario command `load`.
struct LoadPlan {
  std::string name;
  /// "confirm", "chat" or "lookup".
  std::string kind;
  std::string tenant = "large";
  /// Number of keys (confirm), sessions (chat) or requests (lookup).
  uint32_t count = 100;
  /// Number of requests that send the same key (confirm), or of turns in each session (chat).
  uint32_t repeat = 1;
  /// Number of concurrent callers.
  uint32_t concurrency = 8;
  /// Tokens of each chat response.
  uint32_t tokens = 16;
  /// Maximum number of attempts for one request.
  uint32_t max_attempts = 60;
  /// Confirm: whether callers resolve the address first; if not, they choose a router at random.
  bool resolve = false;
  /// Pause of each caller between requests, milliseconds.
  uint32_t pause_ms = 0;
  /// Whether requests reuse open connections; if not, each opens a new one.
  bool keep_connections = false;
};

/// Runs one load on its own worker thread. Results can be read from other threads meanwhile.
class LoadGenerator {
public:
  LoadGenerator(LoadPlan plan, std::vector<std::string> routers, uint64_t seed);
  ~LoadGenerator();

  void start();
  /// @return true when all callers have finished.
  bool finished() const { return running_.load() == 0; }
  /// @return number of attempts that have ended, lost ones included.
  size_t attemptCount() const;
  size_t countOf(AttemptOutcome outcome) const;
  std::vector<AttemptResult> attempts() const;
  std::vector<ChatTurn> chatTurns() const;
  const LoadPlan& plan() const { return plan_; }

private:
  template <typename T> using awaitable = boost::asio::awaitable<T>;

  /// Runs jobs until none is left.
  awaitable<void> runCaller();
  awaitable<void> runJob(uint32_t job);
  awaitable<void> runConfirmation(std::string key);
  awaitable<void> runLookup(std::string id);
  awaitable<void> runChatSession(std::string session);
  /// @return the text of the response, as far as it was received.
  awaitable<std::string> runChatTurn(std::string session, std::string messages);
  awaitable<AttemptResult> attemptChat(const std::string& session, const std::string& body,
                                       ChatTurn& chat_turn, std::string& last_event,
                                       std::string address, std::string id);
  awaitable<AttemptResult> attemptPlain(http::Request request, std::string key, std::string address,
                                        std::string id);
  /// Resolves the address for a request through a router. The address depends on `attempt`, so that
  /// retries go to the next endpoint.
  awaitable<std::string> chooseAddress(const std::string& service, const std::string& session,
                                       uint32_t attempt);
  awaitable<void> pauseFor(int64_t milliseconds);
  /// Waits before the next attempt, as long as the response asks for, up to a limit.
  awaitable<void> pauseAfter(const AttemptResult& result);
  std::string newId();
  void record(AttemptResult result);
  static std::string describe(const http::CallError& error);
  /// Sets the result fields that follow from the status and headers of the response.
  void classify(AttemptResult& result, http::ClientResponse& response);

  const LoadPlan plan_;
  const std::vector<std::string> routers_;
  WorkerPool worker_{1};
  const SystemClock clock_{};
  http::Client client_;
  SeededRandom random_;
  uint64_t next_id_ = 1;
  uint32_t next_job_ = 0;
  /// Callers that have not finished.
  std::atomic<uint32_t> running_{0};

  mutable std::mutex mutex_;
  /// Guarded by mutex_.
  std::vector<AttemptResult> attempts_;
  /// Guarded by mutex_.
  std::vector<ChatTurn> chat_turns_;
};

} // namespace workshatch::scenario

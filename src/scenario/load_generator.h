/// @file
/// Callers that use the system as its users do, and remember every answer.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "adapters/http/http_client.h"
#include "adapters/worker_pool.h"
#include "ports/seeded_random.h"

namespace workshatch::scenario {

enum class AttemptOutcome {
  Completed,
  NotRun,
  Unknown,
  /// No whole answer came: the router is gone.
  Lost,
  /// The request was at fault.
  Rejected,
};

/// One try of a request, with an id of its own.
struct AttemptResult {
  std::string id;
  /// Key of a request that may not be repeated; empty: repeatable.
  std::string key;
  AttemptOutcome kind = AttemptOutcome::Lost;
  unsigned status = 0;
  std::string body;
  bool has_retry_after = false;
  /// Milliseconds until the answer.
  int64_t duration_ms = 0;
  int64_t first_event_ms = 0;
  std::string tenant;
  /// The router that was asked.
  std::string address;
  /// When the answer came or was lost, milliseconds since the epoch.
  uint64_t ended_at_ms = 0;
  /// How a lost answer was lost.
  std::string loss_reason;
};

/// A chat that was asked for, whatever tries it took.
struct ChatTurn {
  std::string id;
  std::string expected_text;
  std::string text;
  /// Events that came twice or did not fit.
  uint64_t misplaced_events = 0;
  bool complete = false;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
};

struct LoadPlan {
  std::string name;
  /// "confirm", "chat" or "lookup".
  std::string kind;
  std::string tenant = "large";
  /// Confirm: keys. Chat: sessions. Lookup: requests.
  uint32_t count = 100;
  /// Confirm: callers that send each key at the same time. Chat: turns of each session.
  uint32_t repeat = 1;
  uint32_t concurrency = 8;
  uint32_t tokens = 16;
  /// Tries of one request after refusals and lost answers.
  uint32_t max_attempts = 60;
  /// Confirm: asks which address to use; false: sends through every router.
  bool resolve = false;
  /// Pause of each caller between requests, milliseconds.
  uint32_t pause_ms = 0;
  /// Requests go over connections that are open already, until these end.
  bool keep_connections = false;
};

/// Runs one load on a worker of its own loop. Results may be read while it runs.
class LoadGenerator {
public:
  LoadGenerator(LoadPlan plan, std::vector<std::string> routers, uint64_t seed);
  ~LoadGenerator();

  void start();
  bool finished() const { return running_.load() == 0; }
  size_t attemptCount() const;
  size_t countOf(AttemptOutcome kind) const;
  std::vector<AttemptResult> attempts() const;
  std::vector<ChatTurn> chatTurns() const;
  const LoadPlan& plan() const { return plan_; }

private:
  template <typename T> using awaitable = boost::asio::awaitable<T>;

  awaitable<void> runCaller();
  awaitable<void> runJob(uint32_t job);
  awaitable<void> runConfirmation(std::string key);
  awaitable<void> runLookup(std::string id);
  awaitable<void> runChatSession(std::string session);
  awaitable<std::string> runChatTurn(std::string session, std::string messages);
  awaitable<AttemptResult> attemptChat(const std::string& session, const std::string& body,
                                       ChatTurn& chat_turn, std::string& last_event,
                                       std::string address, std::string id);
  awaitable<AttemptResult> attemptPlain(http::Request request, std::string key, std::string address,
                                        std::string id);
  awaitable<std::string> chooseAddress(const std::string& service, const std::string& session,
                                       uint32_t attempt);
  awaitable<void> pauseFor(int64_t milliseconds);
  awaitable<void> pauseAfter(const AttemptResult& answer);
  std::string newId();
  void record(AttemptResult answer);
  static std::string describe(const http::CallError& error);
  void classify(AttemptResult& answer, http::ClientResponse& response);

  const LoadPlan plan_;
  const std::vector<std::string> routers_;
  WorkerPool worker_{1};
  http::Client client_;
  SeededRandom random_;
  uint64_t next_id_ = 1;
  uint32_t next_job_ = 0;
  std::atomic<uint32_t> running_{0};

  mutable std::mutex mutex_;
  /// Guarded by mutex_.
  std::vector<AttemptResult> attempts_;
  /// Guarded by mutex_.
  std::vector<ChatTurn> chat_turns_;
};

} // namespace workshatch::scenario

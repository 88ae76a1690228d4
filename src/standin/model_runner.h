/// @file
/// Stand-in for a model runner: emulates engines with continuous batching and prefix caches.
///
/// Time model of an engine: the first token takes `prefill_us_per_token` for each prompt token that
/// is not cached. Each further token takes `step_ms` plus 1/32 of it for each other stream of the
/// engine. Token `i` of a response depends only on the prompt and `i`.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "adapters/http/http_server.h"
#include "standin/injected_faults.h"
#include "standin/prefix_cache.h"
#include "standin/run_record.h"

namespace workshatch::standin {

struct ModelRunnerOptions {
  std::string name;
  uint32_t engines = 1;
  /// Time between two tokens of a stream that has its engine to itself.
  uint32_t step_ms = 5;
  uint32_t prefill_us_per_token = 20;
  /// Capacity of each engine's prefix cache, in blocks.
  size_t cache_blocks = 4096;
  /// Maximum number of streams in an engine's batch; zero means no limit. Further streams wait in
  /// order of priority, highest first.
  uint32_t max_batch = 0;
  /// Age of the figures in a load report.
  int64_t report_lag_ms = 500;
  /// Delay before cache events are returned. One event in eight is dropped.
  int64_t event_lag_ms = 500;
  /// Whether orders with a fencing token older than the latest one are rejected.
  bool checks_fencing = true;
  /// File to which each run is appended; empty for no file.
  std::string run_log;
};

/// HTTP handler of the stand-in. Not safe for concurrent use; owned by one worker.
class ModelRunner {
public:
  explicit ModelRunner(ModelRunnerOptions options);

  http::awaitable<void> handle(http::Exchange& exchange);

private:
  struct Engine {
    explicit Engine(size_t cache_blocks) : cache(cache_blocks) {}
    PrefixCache cache;
    uint32_t streams = 0;
    uint32_t peak_streams = 0;
    uint32_t batch_size = 0;
    /// Priorities of the streams that wait to enter the batch.
    std::multiset<int64_t> waiting_priorities;
  };
  struct Job {
    std::string id;
    std::string prompt;
    uint32_t max_tokens = 0;
    int64_t priority = 0;
    /// Events that the caller of a resumed stream has already received.
    uint64_t events_sent = 0;
    uint64_t prompt_tokens = 0;
    uint64_t cached_tokens = 0;
    std::shared_ptr<bool> cancelled;
  };
  struct LoadSample {
    int64_t at_ms = 0;
    std::vector<uint32_t> streams;
  };

  /// Runs a chat completion and streams its events.
  http::awaitable<void> handleCompletion(http::Exchange& exchange);
  http::awaitable<void> stream(http::Exchange& exchange, Engine& engine, Job job);
  /// Waits until the batch has room and no waiting stream has a higher priority.
  http::awaitable<void> enterBatch(Engine& engine, int64_t priority);
  /// Sends event `number`, with the faults applied.
  /// @param delayed_events events that were kept back to be sent after their successor
  /// @return false when the connection has failed.
  http::awaitable<bool> sendEvents(http::Exchange& exchange, const Job& job, uint64_t number,
                                   std::string& delayed_events);
  std::string eventText(const Job& job, uint64_t number) const;
  http::awaitable<void> cancel(http::Exchange& exchange);
  http::awaitable<void> sendLoadReport(http::Exchange& exchange);
  http::awaitable<void> sendCacheEvents(http::Exchange& exchange);
  /// GET exports an engine's cache blocks, other methods import blocks.
  http::awaitable<void> transferCache(http::Exchange& exchange);
  /// GET lists the accepted orders, other methods submit an order.
  http::awaitable<void> handleOrders(http::Exchange& exchange);
  http::awaitable<void> setFaults(http::Exchange& exchange);
  /// @return the engine that the X-Engine header selects (0 by default), or null if there is none.
  Engine* engineOf(const http::Exchange& exchange);
  void sampleLoad();

  const ModelRunnerOptions options_;
  InjectedFaults faults_;
  RunRecord runs_;
  std::vector<std::unique_ptr<Engine>> engines_;
  /// Cancellation flags of the requests in progress, by request id.
  std::map<std::string, std::shared_ptr<bool>> running_;
  /// Oldest first. The first sample is the newest one that is at least `report_lag_ms` old, if any.
  std::deque<LoadSample> samples_;
  /// Highest fencing token received.
  uint64_t fencing_token_ = 0;
  std::vector<nlohmann::json> orders_;
};

} // namespace workshatch::standin

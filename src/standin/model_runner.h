/// @file
/// Stand-in for a model runner: engines with continuous batching and prefix caches.
///
/// Time model of an engine: the first token comes after `prefill_us_per_token` for each prompt
/// token that is not cached; each further token after `step_ms`, plus a 32nd of it for each other
/// stream of the engine. Token `i` of an answer is a function of the prompt and `i` alone.
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
  uint32_t step_ms = 5;
  uint32_t prefill_us_per_token = 20;
  size_t cache_blocks = 4096;
  /// Streams that an engine works on at once; others wait, highest priority first. Zero: no limit.
  uint32_t max_batch = 0;
  /// Load reports show what was true so long ago.
  int64_t report_lag_ms = 500;
  /// Cache events are published so late; each eighth is left out.
  int64_t event_lag_ms = 500;
  /// Refuses orders with an older fencing token.
  bool checks_fencing = true;
  /// File that each run is noted in; empty: none.
  std::string run_log;
};

/// Belongs to one worker.
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
    /// Priorities of the streams that wait for a place in the batch.
    std::multiset<int64_t> waiting_priorities;
  };
  struct Job {
    std::string id;
    std::string prompt;
    uint32_t max_tokens = 0;
    int64_t priority = 0;
    uint64_t events_sent = 0;
    uint64_t prompt_tokens = 0;
    uint64_t cached_tokens = 0;
    std::shared_ptr<bool> cancelled;
  };
  struct LoadSample {
    int64_t at_ms = 0;
    std::vector<uint32_t> streams;
  };

  http::awaitable<void> handleCompletion(http::Exchange& exchange);
  http::awaitable<void> stream(http::Exchange& exchange, Engine& engine, Job job);
  http::awaitable<void> enterBatch(Engine& engine, int64_t priority);
  http::awaitable<bool> sendEvents(http::Exchange& exchange, const Job& job, uint64_t number,
                                   std::string& delayed_events);
  std::string eventText(const Job& job, uint64_t number) const;
  http::awaitable<void> cancel(http::Exchange& exchange);
  http::awaitable<void> sendLoadReport(http::Exchange& exchange);
  http::awaitable<void> sendCacheEvents(http::Exchange& exchange);
  http::awaitable<void> transferCache(http::Exchange& exchange);
  http::awaitable<void> handleOrders(http::Exchange& exchange);
  http::awaitable<void> setFaults(http::Exchange& exchange);
  Engine* engineOf(const http::Exchange& exchange);
  void sampleLoad();

  const ModelRunnerOptions options_;
  InjectedFaults faults_;
  RunRecord runs_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::map<std::string, std::shared_ptr<bool>> running_;
  std::deque<LoadSample> samples_;
  uint64_t fencing_token_ = 0;
  std::vector<nlohmann::json> orders_;
};

} // namespace workshatch::standin

#include "standin/model_runner.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "adapters/http/event_stream.h"
#include "adapters/http/problem.h"
#include "adapters/system_clock.h"
#include "standin/generated_text.h"

namespace workshatch::standin {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr uint32_t kDefaultMaxTokens = 64;
/// Each other stream of the engine lengthens a step by 1/32.
constexpr uint32_t kBatchSlowdownDivisor = 32;
/// Cache events whose sequence number is a multiple of this are dropped.
constexpr uint64_t kDroppedEventInterval = 8;

http::awaitable<void> sleepFor(std::chrono::microseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

uint64_t numberOf(const std::string& text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

http::Response jsonResponse(const json& body) {
  return http::makeResponse(http::Status::ok, "application/json", body.dump());
}

http::Response refusal(http::Status status, const std::string& detail) {
  return http::makeProblem(http::Problem{.status = status, .code = "runner", .detail = detail});
}

} // namespace

ModelRunner::ModelRunner(ModelRunnerOptions options)
    : options_(std::move(options)), runs_(options_.run_log) {
  for (uint32_t i = 0; i < options_.engines; ++i) {
    engines_.push_back(std::make_unique<Engine>(options_.cache_blocks));
  }
}

http::awaitable<void> ModelRunner::handle(http::Exchange& exchange) {
  const std::string path(exchange.path());
  if (path == "/fault") {
    co_await setFaults(exchange);
    co_return;
  }
  if (path == "/v1/runs") {
    http::Response response = runs_.toResponse();
    co_await exchange.respond(std::move(response));
    co_return;
  }
  co_await faults_.applyDelay();
  if (path == "/v1/chat/completions") {
    co_await handleCompletion(exchange);
  } else if (path.starts_with("/v1/requests/")) {
    co_await cancel(exchange);
  } else if (path == "/v1/load") {
    co_await sendLoadReport(exchange);
  } else if (path == "/v1/cache-events") {
    co_await sendCacheEvents(exchange);
  } else if (path == "/v1/kv") {
    co_await transferCache(exchange);
  } else if (path == "/v1/orders") {
    co_await handleOrders(exchange);
  } else {
    http::Response response = refusal(http::Status::not_found, "no such path");
    co_await exchange.respond(std::move(response));
  }
}

ModelRunner::Engine* ModelRunner::engineOf(const http::Exchange& exchange) {
  const uint64_t number = numberOf(http::fieldOf(exchange.request(), "X-Engine").value_or("0"));
  return number < engines_.size() ? engines_[number].get() : nullptr;
}

http::awaitable<void> ModelRunner::handleCompletion(http::Exchange& exchange) {
  const json body = json::parse(exchange.request().body(), nullptr, false);
  Engine* engine = engineOf(exchange);
  if (!body.is_object() || engine == nullptr) {
    http::Response response = refusal(http::Status::bad_request, "bad body or X-Engine");
    co_await exchange.respond(std::move(response));
    co_return;
  }
  if (faults_.refuse) {
    http::Response response = refusal(http::Status::service_unavailable, "refusing work");
    co_await exchange.respond(std::move(response));
    co_return;
  }
  Job job;
  job.id = http::fieldOf(exchange.request(), "X-Request-Id").value_or("unnamed");
  job.prompt = promptOf(body);
  job.priority = std::strtol(http::fieldOf(exchange.request(), "X-Priority").value_or("0").c_str(),
                             nullptr, 10);
  job.max_tokens = body.value("max_tokens", kDefaultMaxTokens);
  job.events_sent = numberOf(http::fieldOf(exchange.request(), "Last-Event-ID").value_or("0"));
  job.prompt_tokens = PrefixCache::estimateTokens(job.prompt);
  job.cancelled = std::make_shared<bool>(false);
  runs_.recordRun(job.id, "");
  running_[job.id] = job.cancelled;
  ++engine->streams;
  engine->peak_streams = std::max(engine->peak_streams, engine->streams);
  sampleLoad();
  co_await enterBatch(*engine, job.priority);
  co_await stream(exchange, *engine, job);
  --engine->batch_size;
  --engine->streams;
  sampleLoad();
  running_.erase(job.id);
}

http::awaitable<void> ModelRunner::enterBatch(Engine& engine, int64_t priority) {
  constexpr std::chrono::milliseconds kPollInterval{2};
  const auto queue_entry = engine.waiting_priorities.insert(priority);
  const auto may_enter = [&] {
    const bool has_capacity = options_.max_batch == 0 || engine.batch_size < options_.max_batch;
    return has_capacity && *engine.waiting_priorities.rbegin() <= priority;
  };
  while (!may_enter()) {
    co_await sleepFor(kPollInterval);
  }
  engine.waiting_priorities.erase(queue_entry);
  ++engine.batch_size;
}

http::awaitable<void> ModelRunner::stream(http::Exchange& exchange, Engine& engine, Job job) {
  job.cached_tokens = engine.cache.lookupAndStore(job.prompt);
  const uint64_t uncached = job.prompt_tokens - job.cached_tokens;
  co_await sleepFor(std::chrono::microseconds(uncached * options_.prefill_us_per_token));
  http::Response head(http::Status::ok, 11);
  head.set(http::Field::content_type, "text/event-stream");
  head.set("X-Request-Id", job.id);
  if (!co_await exchange.startStream(std::move(head))) {
    co_return;
  }
  std::string delayed_events;
  std::string text;
  // Events 1 to max_tokens carry one token each. Two more carry the usage and the end marker.
  const uint64_t last = job.max_tokens + 2;
  uint32_t sent = 0;
  for (uint64_t number = job.events_sent + 1; number <= last; ++number) {
    co_await faults_.applyDelay();
    if (*job.cancelled || exchange.clientDisconnected()) {
      exchange.abort();
      co_return;
    }
    if (faults_.consumeCut(sent++)) {
      exchange.abort();
      co_return;
    }
    if (!co_await sendEvents(exchange, job, number, delayed_events)) {
      co_return;
    }
    if (number <= job.max_tokens) {
      const uint32_t others = engine.streams - 1;
      const uint64_t step_us = uint64_t{options_.step_ms} * 1000;
      co_await sleepFor(
          std::chrono::microseconds(step_us + step_us * others / kBatchSlowdownDivisor));
    }
  }
  engine.cache.lookupAndStore(job.prompt);
  co_await exchange.finish();
}

http::awaitable<bool> ModelRunner::sendEvents(http::Exchange& exchange, const Job& job,
                                              uint64_t number, std::string& delayed_events) {
  std::string text;
  if (faults_.foreign_events) {
    Job other = job;
    other.id = "another-request";
    other.prompt = "another prompt";
    text += eventText(other, number);
  }
  text += eventText(job, number);
  const uint64_t last = job.max_tokens + 2;
  if (faults_.out_of_order && number % 2 == 1 && number + 1 < last) {
    delayed_events = std::move(text);
    co_return true;
  }
  text += std::exchange(delayed_events, std::string());
  co_return co_await exchange.write(text);
}

std::string ModelRunner::eventText(const Job& job, uint64_t number) const {
  http::ServerSentEvent event;
  event.id = std::to_string(number);
  if (number == job.max_tokens + 2ULL) {
    event.data = http::kDoneData;
    return http::formatEvent(event);
  }
  json data = {{"id", job.id}, {"object", "chat.completion.chunk"}};
  if (number == job.max_tokens + 1ULL) {
    data["choices"] = json::array();
    data["usage"] = {{"prompt_tokens", job.prompt_tokens},
                     {"cached_tokens", job.cached_tokens},
                     {"completion_tokens", job.max_tokens}};
  } else {
    data["choices"] =
        json::array({{{"index", 0}, {"delta", {{"content", tokenOf(job.prompt, number)}}}}});
  }
  event.data = data.dump();
  return http::formatEvent(event);
}

http::awaitable<void> ModelRunner::cancel(http::Exchange& exchange) {
  const std::string id(exchange.path().substr(std::string_view("/v1/requests/").size()));
  const auto found = running_.find(id);
  if (found != running_.end()) {
    *found->second = true;
  }
  const json reply = {{"cancelled", found != running_.end()}};
  http::Response response = jsonResponse(reply);
  co_await exchange.respond(std::move(response));
}

void ModelRunner::sampleLoad() {
  const int64_t now = SystemClock().monotonicMs();
  LoadSample sample{.at_ms = now, .streams = {}};
  for (const auto& engine : engines_) {
    sample.streams.push_back(engine->streams);
  }
  samples_.push_back(std::move(sample));
  while (samples_.size() > 1 && samples_[1].at_ms <= now - options_.report_lag_ms) {
    samples_.pop_front();
  }
}

http::awaitable<void> ModelRunner::sendLoadReport(http::Exchange& exchange) {
  sampleLoad();
  json report = {{"runner", options_.name}, {"leaving", faults_.leaving}};
  report["streams"] = samples_.front().streams;
  json now = json::array();
  json peaks = json::array();
  for (const auto& engine : engines_) {
    now.push_back(engine->streams);
    peaks.push_back(engine->peak_streams);
  }
  // Current figures for tests only. Reports of a real runner always lag.
  report["streams_now"] = now;
  report["most_streams"] = peaks;
  http::Response response = jsonResponse(report);
  co_await exchange.respond(std::move(response));
}

http::awaitable<void> ModelRunner::sendCacheEvents(http::Exchange& exchange) {
  co_await sleepFor(std::chrono::milliseconds(options_.event_lag_ms));
  const uint64_t after = numberOf(http::queryParameter(exchange.target(), "after").value_or("0"));
  Engine* engine = engineOf(exchange);
  json events = json::array();
  if (engine != nullptr) {
    for (const CacheEvent& event : engine->cache.eventsAfter(after)) {
      if (event.sequence % kDroppedEventInterval != 0) {
        events.push_back(
            {{"sequence", event.sequence}, {"stored", event.stored}, {"block", event.block}});
      }
    }
  }
  const json reply = {{"events", std::move(events)}};
  http::Response response = jsonResponse(reply);
  co_await exchange.respond(std::move(response));
}

http::awaitable<void> ModelRunner::transferCache(http::Exchange& exchange) {
  Engine* engine = engineOf(exchange);
  if (engine == nullptr) {
    http::Response response = refusal(http::Status::bad_request, "bad X-Engine");
    co_await exchange.respond(std::move(response));
    co_return;
  }
  if (exchange.request().method() == http::Verb::get) {
    const json reply = {{"blocks", engine->cache.exportBlocks()}};
    http::Response response = jsonResponse(reply);
    co_await exchange.respond(std::move(response));
    co_return;
  }
  const json body = json::parse(exchange.request().body(), nullptr, false);
  if (!body.is_object()) {
    http::Response response = refusal(http::Status::bad_request, "expected {\"blocks\": [...]}");
    co_await exchange.respond(std::move(response));
    co_return;
  }
  engine->cache.importBlocks(body.value("blocks", std::vector<uint64_t>()));
  const json reply = {{"blocks", engine->cache.blockCount()}};
  http::Response response = jsonResponse(reply);
  co_await exchange.respond(std::move(response));
}

http::awaitable<void> ModelRunner::handleOrders(http::Exchange& exchange) {
  if (exchange.request().method() == http::Verb::get) {
    const json reply = {{"orders", orders_}};
    http::Response response = jsonResponse(reply);
    co_await exchange.respond(std::move(response));
    co_return;
  }
  const json order = json::parse(exchange.request().body(), nullptr, false);
  const uint64_t token = order.is_object() ? order.value("token", uint64_t{0}) : 0;
  if (options_.checks_fencing && token < fencing_token_) {
    http::Response response = refusal(http::Status::conflict, "older fencing token");
    co_await exchange.respond(std::move(response));
    co_return;
  }
  fencing_token_ = std::max(fencing_token_, token);
  orders_.push_back(order);
  const json reply = {{"taken", true}};
  http::Response response = jsonResponse(reply);
  co_await exchange.respond(std::move(response));
}

http::awaitable<void> ModelRunner::setFaults(http::Exchange& exchange) {
  const json members = json::parse(exchange.request().body(), nullptr, false);
  if (members.is_object()) {
    faults_.set(members);
  }
  const json reply = {{"set", members.is_object()}};
  http::Response response = jsonResponse(reply);
  co_await exchange.respond(std::move(response));
}

} // namespace workshatch::standin

#include "scenario/load_generator.h"

#include <charconv>
#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "adapters/http/event_stream.h"
#include "adapters/system_clock.h"
#include "standin/generated_text.h"

namespace workshatch::scenario {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{500};
/// A caller that receives nothing for this time tries another address.
constexpr std::chrono::milliseconds kReadTimeout{6000};
constexpr int64_t kPauseAfterLossMs = 50;
/// Upper limit for the pause before a retry. It may be shorter than the server's Retry-After, so
/// that a scenario sends more requests.
constexpr int64_t kMaxPauseMs = 300;
constexpr size_t kMaxBodyBytes = 1U << 20U;
/// System message of all chat sessions: a prompt prefix that they share.
const std::string kSharedPromptPrefix(1600, 'r');

int64_t nowMs() { return SystemClock().monotonicMs(); }

http::CallOptions callOptions(const LoadPlan& plan) {
  http::CallOptions options;
  options.connect_timeout = kConnectTimeout;
  options.read_timeout = kReadTimeout;
  options.fresh_connection = !plan.keep_connections;
  return options;
}

/// @return the number after the colon of an event id; zero for an empty id.
uint64_t eventNumber(const std::string& id) {
  const size_t colon = id.rfind(':');
  uint64_t number = 0;
  if (colon != std::string::npos) {
    std::from_chars(id.data() + colon + 1, id.data() + id.size(), number);
  }
  return number;
}

} // namespace

LoadGenerator::LoadGenerator(LoadPlan plan, std::vector<std::string> routers, uint64_t seed)
    : plan_(std::move(plan)), routers_(std::move(routers)), client_(worker_.context(0), clock_),
      random_(seed) {}

LoadGenerator::~LoadGenerator() { worker_.stop(); }

void LoadGenerator::start() {
  running_ = plan_.concurrency;
  for (uint32_t caller = 0; caller < plan_.concurrency; ++caller) {
    asio::co_spawn(worker_.context(0), runCaller(), asio::detached);
  }
  worker_.start();
}

size_t LoadGenerator::attemptCount() const {
  const std::lock_guard lock(mutex_);
  return attempts_.size();
}

size_t LoadGenerator::countOf(AttemptOutcome outcome) const {
  const std::lock_guard lock(mutex_);
  size_t count = 0;
  for (const AttemptResult& result : attempts_) {
    count += result.outcome == outcome ? 1 : 0;
  }
  return count;
}

std::vector<AttemptResult> LoadGenerator::attempts() const {
  const std::lock_guard lock(mutex_);
  return attempts_;
}

std::vector<ChatTurn> LoadGenerator::chatTurns() const {
  const std::lock_guard lock(mutex_);
  return chat_turns_;
}

void LoadGenerator::record(AttemptResult result) {
  result.tenant = plan_.tenant;
  result.ended_at_ms = SystemClock().wallMs();
  const std::lock_guard lock(mutex_);
  attempts_.push_back(std::move(result));
}

std::string LoadGenerator::describe(const http::CallError& error) {
  const std::string phase = error.phase == http::CallPhase::NotSent ? "not sent" : "sent";
  return phase + (error.timed_out ? ", timed out: " : ": ") + error.message;
}

std::string LoadGenerator::newId() { return plan_.name + "-" + std::to_string(next_id_++); }

asio::awaitable<void> LoadGenerator::pauseFor(int64_t milliseconds) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::chrono::milliseconds(milliseconds));
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> LoadGenerator::runCaller() {
  const uint32_t jobs = plan_.kind == "confirm" ? plan_.count * plan_.repeat : plan_.count;
  while (next_job_ < jobs) {
    const uint32_t job = next_job_++;
    co_await runJob(job);
    if (plan_.pause_ms > 0) {
      co_await pauseFor(plan_.pause_ms);
    }
  }
  --running_;
}

asio::awaitable<void> LoadGenerator::runJob(uint32_t job) {
  const std::string number = std::to_string(plan_.kind == "confirm" ? job / plan_.repeat : job);
  if (plan_.kind == "confirm") {
    co_await runConfirmation(plan_.name + "-key-" + number);
  } else if (plan_.kind == "chat") {
    co_await runChatSession(plan_.name + "-session-" + number);
  } else {
    co_await runLookup(number);
  }
}

void LoadGenerator::classify(AttemptResult& result, http::ClientResponse& response) {
  result.status = static_cast<unsigned>(response.status());
  result.has_retry_after = response.header("Retry-After").has_value();
  const std::string execution = response.header("X-Execution").value_or("completed");
  if (execution == "not-run") {
    result.outcome = result.status >= 500 || result.status == 429 ? AttemptOutcome::NotRun
                                                                  : AttemptOutcome::Rejected;
  } else {
    result.outcome = execution == "unknown" ? AttemptOutcome::Unknown : AttemptOutcome::Completed;
  }
}

asio::awaitable<std::string> LoadGenerator::chooseAddress(const std::string& service,
                                                          const std::string& session,
                                                          uint32_t attempt) {
  // Any router can resolve the address. Routers are chosen at random until one returns an address.
  std::string router;
  for (size_t query = 0; query < 2 * routers_.size(); ++query) {
    router = routers_[random_.below(routers_.size())];
    http::Request request(
        http::Verb::get,
        "/v1/endpoints?service=" + service + "&session=" + session + "&tenant=" + plan_.tenant, 11);
    const http::CallOptions options = callOptions(plan_);
    http::CallResult call_result = co_await client_.call(router, std::move(request), options);
    auto* response = std::get_if<std::unique_ptr<http::ClientResponse>>(&call_result);
    if (response == nullptr) {
      continue;
    }
    auto body = co_await (*response)->readAll(kMaxBodyBytes);
    if (const auto* text = std::get_if<std::string>(&body)) {
      const json list = json::parse(*text, nullptr, false).value("endpoints", json::array());
      if (!list.empty()) {
        co_return list[attempt % list.size()].value("address", router);
      }
    }
  }
  co_return router;
}

asio::awaitable<void> LoadGenerator::pauseAfter(const AttemptResult& result) {
  int64_t pause = kPauseAfterLossMs;
  if (result.outcome == AttemptOutcome::NotRun || result.outcome == AttemptOutcome::Unknown) {
    const json body = json::parse(result.body, nullptr, false);
    pause = body.is_object() ? body.value("retry_after_ms", kMaxPauseMs) : kMaxPauseMs;
  }
  co_await pauseFor(std::min(pause, kMaxPauseMs));
}

asio::awaitable<AttemptResult> LoadGenerator::attemptPlain(http::Request request, std::string key,
                                                           std::string address, std::string id) {
  AttemptResult result;
  result.id = std::move(id);
  result.key = std::move(key);
  result.address = address;
  request.set("X-Request-Id", result.id);
  request.set("X-Tenant", plan_.tenant);
  const int64_t started = nowMs();
  const http::CallOptions options = callOptions(plan_);
  http::CallResult call_result = co_await client_.call(address, std::move(request), options);
  if (auto* response = std::get_if<std::unique_ptr<http::ClientResponse>>(&call_result)) {
    auto body = co_await (*response)->readAll(kMaxBodyBytes);
    if (auto* text = std::get_if<std::string>(&body)) {
      result.body = std::move(*text);
      classify(result, **response);
    } else {
      result.loss_reason = describe(std::get<http::CallError>(body));
    }
  } else {
    result.loss_reason = describe(std::get<http::CallError>(call_result));
  }
  result.duration_ms = nowMs() - started;
  record(result);
  co_return result;
}

asio::awaitable<void> LoadGenerator::runConfirmation(std::string key) {
  for (uint32_t attempt = 0; attempt < plan_.max_attempts; ++attempt) {
    http::Request request(http::Verb::post, "/v1/services/booking/confirmations", 11);
    request.set("Idempotency-Key", key);
    request.body() = "{\"pitch\":\"" + key + "\"}";
    std::string address = routers_[random_.below(routers_.size())];
    if (plan_.resolve) {
      address = co_await chooseAddress("booking", key, attempt);
    }
    const AttemptResult result = co_await attemptPlain(std::move(request), key, address, newId());
    const bool final_unknown = result.outcome == AttemptOutcome::Unknown && !result.has_retry_after;
    if (result.outcome == AttemptOutcome::Completed || result.outcome == AttemptOutcome::Rejected ||
        final_unknown) {
      co_return;
    }
    co_await pauseAfter(result);
  }
}

asio::awaitable<void> LoadGenerator::runLookup(std::string id) {
  for (uint32_t attempt = 0; attempt < plan_.max_attempts; ++attempt) {
    http::Request request(http::Verb::get, "/v1/services/booking/lookups/" + id, 11);
    const std::string address = co_await chooseAddress("booking", "", attempt);
    const AttemptResult result = co_await attemptPlain(std::move(request), "", address, newId());
    if (result.outcome == AttemptOutcome::Completed || result.outcome == AttemptOutcome::Rejected) {
      co_return;
    }
    co_await pauseAfter(result);
  }
}

asio::awaitable<void> LoadGenerator::runChatSession(std::string session) {
  json messages = json::array();
  messages.push_back({{"role", "system"}, {"content", kSharedPromptPrefix}});
  for (uint32_t turn = 0; turn < plan_.repeat; ++turn) {
    messages.push_back(
        {{"role", "user"}, {"content", session + " asks question " + std::to_string(turn)}});
    const std::string text = co_await runChatTurn(session, messages.dump());
    messages.push_back({{"role", "assistant"}, {"content", text}});
  }
}

asio::awaitable<std::string> LoadGenerator::runChatTurn(std::string session, std::string messages) {
  ChatTurn chat_turn;
  json body = {{"model", "assistant"}, {"stream", true}, {"max_tokens", plan_.tokens}};
  body["messages"] = json::parse(messages);
  const std::string prompt = standin::promptOf(body);
  for (uint32_t token = 1; token <= plan_.tokens; ++token) {
    chat_turn.expected_text += standin::tokenOf(prompt, token);
  }
  const std::string text = body.dump();
  std::string last_event;
  std::string id = newId();
  for (uint32_t attempt = 0; attempt < plan_.max_attempts && !chat_turn.complete; ++attempt) {
    const std::string address = co_await chooseAddress("assistant", session, attempt);
    const AttemptResult result =
        co_await attemptChat(session, text, chat_turn, last_event, address, id);
    if (result.outcome == AttemptOutcome::Rejected) {
      break;
    }
    if (!chat_turn.complete) {
      co_await pauseAfter(result);
      // A resumed stream keeps its request id; a new request has a new one.
      id = last_event.empty() ? newId() : id;
    }
  }
  chat_turn.id = id;
  const std::string response_text = chat_turn.text;
  {
    const std::lock_guard lock(mutex_);
    chat_turns_.push_back(std::move(chat_turn));
  }
  co_return response_text;
}

asio::awaitable<AttemptResult>
LoadGenerator::attemptChat(const std::string& session, const std::string& body, ChatTurn& chat_turn,
                           std::string& last_event, std::string address, std::string id) {
  AttemptResult result;
  result.id = std::move(id);
  http::Request request(http::Verb::post, "/v1/chat/completions", 11);
  result.address = address;
  request.set("X-Request-Id", result.id);
  request.set("X-Tenant", plan_.tenant);
  request.set("X-Session-Id", session);
  if (!last_event.empty()) {
    request.set("Last-Event-ID", last_event);
  }
  request.body() = body;
  const int64_t started = nowMs();
  const http::CallOptions options = callOptions(plan_);
  http::CallResult call_result = co_await client_.call(address, std::move(request), options);
  auto* response = std::get_if<std::unique_ptr<http::ClientResponse>>(&call_result);
  if (response == nullptr) {
    result.loss_reason = describe(std::get<http::CallError>(call_result));
    result.duration_ms = nowMs() - started;
    record(result);
    co_return result;
  }
  if ((*response)->status() != http::Status::ok) {
    auto text = co_await (*response)->readAll(kMaxBodyBytes);
    if (auto* problem = std::get_if<std::string>(&text)) {
      result.body = std::move(*problem);
      classify(result, **response);
    }
    result.duration_ms = nowMs() - started;
    record(result);
    co_return result;
  }
  http::EventStreamParser parser;
  while (!chat_turn.complete) {
    auto part = co_await (*response)->read();
    const auto* bytes = std::get_if<std::string>(&part);
    if (bytes == nullptr || bytes->empty()) {
      result.loss_reason = bytes == nullptr ? describe(std::get<http::CallError>(part))
                                            : "the stream ended after event " + last_event;
      break;
    }
    parser.feed(*bytes);
    while (const auto event = parser.next()) {
      if (result.first_event_ms == 0) {
        result.first_event_ms = nowMs() - started;
      }
      const uint64_t expected = eventNumber(last_event) + 1;
      chat_turn.misplaced_events += eventNumber(event->id) != expected ? 1 : 0;
      last_event = event->id;
      if (event->data == http::kDoneData) {
        chat_turn.complete = true;
        result.outcome = AttemptOutcome::Completed;
        break;
      }
      const json data = json::parse(event->data, nullptr, false);
      if (!data.is_object() || data.value("id", "") != result.id) {
        ++chat_turn.misplaced_events;
        continue;
      }
      for (const json& choice : data.value("choices", json::array())) {
        chat_turn.text += choice.at("delta").value("content", "");
      }
      if (data.contains("usage")) {
        chat_turn.prompt_tokens = data["usage"].value("prompt_tokens", uint64_t{0});
        chat_turn.cached_tokens = data["usage"].value("cached_tokens", uint64_t{0});
      }
    }
  }
  result.duration_ms = nowMs() - started;
  record(result);
  co_return result;
}

} // namespace workshatch::scenario

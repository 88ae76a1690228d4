/// @file
/// Fixture that runs one relay's request handling on loopback, with runners whose behavior a test
/// scripts.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "adapters/http/http_server.h"
#include "adapters/system_clock.h"
#include "adapters/worker_pool.h"
#include "daemon/relay/active_request.h"
#include "ports/configuration_codec.h"
#include "ports/relay_dialect.h"

namespace workshatch::test {

/// Polls a condition. @return whether it became true within the limit.
template <typename Condition> bool within(std::chrono::milliseconds limit, Condition condition) {
  const auto end = std::chrono::steady_clock::now() + limit;
  bool met = condition();
  while (!met && std::chrono::steady_clock::now() < end) {
    std::this_thread::yield();
    met = condition();
  }
  return met;
}

inline constexpr std::chrono::milliseconds kTestTimeout{10'000};

/// A caller's request for path `/work`.
struct CallerRequest {
  std::string id;
  std::string key = "key-1";
  int64_t timeout_ms = 3000;
  std::string more_headers;
  std::string body = "hi";
};

inline std::string requestText(const CallerRequest& request) {
  return "POST /work HTTP/1.1\r\nHost: h.example\r\nW-Request: " + request.id +
         "\r\nW-Key: " + request.key + "\r\nW-Deadline: " + std::to_string(request.timeout_ms) +
         "\r\nConnection: close\r\n" + request.more_headers +
         "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}

/// Sends bytes on a new connection. @return everything received until it is closed; empty if
/// nothing listens at the address.
inline std::string answerTo(const std::string& bytes, const std::string& address) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  boost::system::error_code failure;
  socket.connect(*http::parseEndpoint(address), failure);
  boost::asio::write(socket, boost::asio::buffer(bytes), failure);
  std::string answer;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), failure);
  return answer;
}

/// A dialect for tests, whose names differ from those of every real platform.
class TestDialect : public RelayDialect {
public:
  const HeaderNames& headers() const override {
    static const HeaderNames names = {
        .request_id = "W-Request",
        .key = "W-Key",
        .tenant = "W-Tenant",
        .deadline = "W-Deadline",
        .target_runner = "W-Runner",
        .priority = "W-Priority",
        .prefix_blocks = "W-Parts",
        .not_run = "W-Not-Run",
        .signature = "W-Signature",
        .load = "W-Load",
        .last_event = "Last-Event-Id",
        .resumes = "W-Resumes",
        .fetch_from = "W-Fetch",
        .system_only = {"W-Tenant", "W-Runner", "W-Priority", "W-Fetch", "W-Reserved"}};
    return names;
  }
  const CallPaths& paths() const override {
    static const CallPaths paths = {.resolve = "/where",
                                    .ready = "/ready",
                                    .put_configuration = "/put",
                                    .get_configuration = "/get",
                                    .runner_report = "/report"};
    return paths;
  }
  std::optional<EvacuationCall> parseEvacuationCall(std::string_view path) const override {
    constexpr std::string_view kBegin = "/evacuate/";
    constexpr std::string_view kEnd = "/take-back/";
    if (path.starts_with(kBegin)) {
      return EvacuationCall{.zone = std::string(path.substr(kBegin.size())), .begin = true};
    }
    if (path.starts_with(kEnd)) {
      return EvacuationCall{.zone = std::string(path.substr(kEnd.size())), .begin = false};
    }
    return std::nullopt;
  }
  std::optional<RolloutCall> parseRolloutCall(std::string_view path) const override {
    constexpr std::string_view kQueryPrefix = "/rollout/";
    if (path == "/roll-out") {
      return RolloutCall{.begin = true};
    }
    return path.starts_with(kQueryPrefix)
               ? std::optional(
                     RolloutCall{.service = std::string(path.substr(kQueryPrefix.size()))})
               : std::nullopt;
  }
  /// The body is "SERVICE VERSION MILLISECONDS".
  Result<RolloutRequest> parseRolloutRequest(std::string_view body) const override {
    std::istringstream words{std::string(body)};
    RolloutRequest order;
    words >> order.service >> order.target_version >> order.duration_ms;
    return words && order.duration_ms > 0 ? Result<RolloutRequest>(order) : Error{"invalid order"};
  }
  std::string rolloutStatusBody(RolloutState state,
                                const std::string& target_version) const override {
    return std::to_string(static_cast<int>(state)) + " " + target_version;
  }
  /// A value with commas lists the ids of prefix blocks. Any other stands for two prefix blocks,
  /// the first of which is shared.
  std::vector<PrefixBlock> parsePrefixBlocks(std::string_view value) const override {
    if (value.find(',') == std::string_view::npos) {
      return {PrefixBlock{.id = "shared", .tokens = 1}, PrefixBlock{.id = "own", .tokens = 1}};
    }
    std::vector<PrefixBlock> blocks;
    std::istringstream ids{std::string(value)};
    for (std::string id; std::getline(ids, id, ',');) {
      blocks.push_back(PrefixBlock{.id = id, .tokens = 1});
    }
    return blocks;
  }
  /// `W-Size` has the prompt tokens and the maximum output tokens as two words, `W-Hint` the
  /// expected output tokens.
  relay::StatedDemand parseStatedDemand(const HeaderLookup& field) const override {
    relay::StatedDemand demand;
    uint64_t prompt = 0;
    uint64_t output = 0;
    const std::string size = field("W-Size").value_or("");
    if (std::istringstream(size) >> prompt >> output) {
      demand.prompt_tokens = prompt;
      demand.max_output_tokens = output;
    } else {
      demand.rejected += size.empty() ? 0 : 1;
    }
    if (const auto hint = field("W-Hint")) {
      demand.expected_output_tokens = std::stoul(*hint);
    }
    return demand;
  }
  /// Times are integers in milliseconds.
  relay::RunnerNotice parseRunnerNotice(const ResponseHead& head) const override {
    const auto timeOf = [&head](std::string_view name) {
      const auto value = head.field(name);
      return value ? std::optional<uint32_t>(std::stoul(*value)) : std::nullopt;
    };
    return relay::RunnerNotice{.leaving = head.field("W-Leaving").has_value(),
                               .backoff_ms = timeOf("W-Backoff"),
                               .cold_ms = timeOf("W-Cold")};
  }
  /// The body has the number of requests that wait and the ids of the runs in progress, as words.
  std::optional<relay::RunnerReport> parseRunnerReport(std::string_view body) const override {
    relay::RunnerReport report;
    std::istringstream words{std::string(body)};
    words >> report.queued;
    for (std::string id; words >> id;) {
      report.runs.push_back(id);
    }
    report.running = static_cast<uint32_t>(report.runs.size());
    return report;
  }
  std::string addresses(const std::vector<std::string>&, uint32_t) const override { return ""; }
  std::string hostParameter() const override { return "host"; }
  std::string zoneParameter() const override { return "zone"; }
  std::string regionParameter() const override { return "region"; }
  std::string retryAfter(uint32_t milliseconds) const override {
    return std::to_string(milliseconds);
  }
};

/// The system clock of a machine that a test can suspend: the clock jumps ahead, while the timers
/// of the process do not advance. Safe for concurrent use.
class SuspendableClock : public Clock {
public:
  void sleepFor(int64_t milliseconds) { suspended_ms_ += milliseconds; }
  int64_t monotonicMs() const override { return clock_.monotonicMs() + suspended_ms_; }
  uint64_t wallMs() const override {
    return clock_.wallMs() + static_cast<uint64_t>(suspended_ms_.load());
  }

private:
  const SystemClock clock_{};
  std::atomic<int64_t> suspended_ms_{0};
};

/// @return whether a runner was asked for its report.
inline bool isReportCall(const std::string& request) { return request.starts_with("GET /report "); }

/// @return the report of a runner in which no request waits. @param runs ids, separated by blanks
inline std::string reportAnswer(const std::string& runs) {
  const std::string body = "0 " + runs;
  return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// @return the response of a runner that gives no report now. @param status code and reason
inline std::string reportRefusal(const std::string& status) {
  return "HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
}

/// A runner that accepts one connection at a time, reads a request on it and runs the script.
class ScriptedRunner {
public:
  using Socket = boost::asio::ip::tcp::socket;
  /// Runs on the runner's thread. `request` has the head of the request, and as much of the body as
  /// was received with it.
  using Script = std::function<void(Socket&, const std::string& request)>;

  explicit ScriptedRunner(Script script, const boost::asio::ip::tcp::endpoint& endpoint =
                                             {boost::asio::ip::make_address("127.0.0.1"), 0})
      : acceptor_(context_, endpoint), script_(std::move(script)), thread_([this] { serve(); }) {}
  ~ScriptedRunner() {
    stopping_ = true;
    // Unblocks the accept call.
    boost::asio::io_context context;
    Socket wake(context);
    boost::system::error_code ignored;
    wake.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }
  ScriptedRunner(const ScriptedRunner&) = delete;
  ScriptedRunner& operator=(const ScriptedRunner&) = delete;

  std::string address() const {
    const auto endpoint = acceptor_.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }
  /// Number of requests, without those for its report.
  int requests() const { return requests_; }
  /// Number of requests for its report.
  int reportCalls() const { return report_calls_; }
  /// Sets the ids of the runs that the runner reports as in progress, separated by blanks.
  void reportRuns(std::string ids) {
    const std::lock_guard lock(report_mutex_);
    reported_runs_ = std::move(ids);
  }
  /// Sets how many of the next requests for its report the runner refuses, and with which status.
  void refuseReports(int count, std::string status) {
    const std::lock_guard lock(report_mutex_);
    refused_reports_ = count;
    report_refusal_ = std::move(status);
  }
  const std::string& lastRequest() const { return last_request_; }

private:
  void serve() {
    while (true) {
      Socket socket(context_);
      acceptor_.accept(socket);
      if (stopping_) {
        return;
      }
      boost::system::error_code failure;
      std::string request;
      boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", failure);
      if (failure) {
        continue;
      }
      if (isReportCall(request)) {
        writeReport(socket);
        continue;
      }
      last_request_ = request;
      ++requests_;
      script_(socket, request);
    }
  }

  void writeReport(Socket& socket) {
    const std::lock_guard lock(report_mutex_);
    ++report_calls_;
    const bool refused = refused_reports_ > 0;
    refused_reports_ -= refused ? 1 : 0;
    boost::system::error_code ignored;
    boost::asio::write(socket,
                       boost::asio::buffer(refused ? reportRefusal(report_refusal_)
                                                   : reportAnswer(reported_runs_)),
                       ignored);
  }

  std::mutex report_mutex_;
  std::string reported_runs_;
  int refused_reports_ = 0;
  std::string report_refusal_;
  std::atomic<int> report_calls_{0};
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Script script_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> requests_{0};
  std::string last_request_;
  std::thread thread_;
};

inline void writeTo(ScriptedRunner::Socket& socket, const std::string& bytes) {
  boost::system::error_code ignored;
  boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
}

/// @return the request id in a request that a runner received.
inline std::string requestIdOf(const std::string& request) {
  const std::string name = "W-Request: ";
  const size_t begin = request.find(name) + name.size();
  return request.substr(begin, request.find("\r\n", begin) - begin);
}

/// @return a signed response with a body to the request with this id. It announces that the
/// connection is closed, as a ScriptedRunner does after each response: a relay that took it for
/// open could send the next request on it.
inline std::string signedAnswer(const std::string& id, const std::string& body,
                                const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status + "\r\nW-Request: " + id +
         "\r\nW-Signature: s\r\nConnection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string streamHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nW-Request: " + id +
         "\r\nW-Signature: s\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string chunk(const std::string& data) {
  std::ostringstream out;
  out << std::hex << data.size() << "\r\n" << data << "\r\n";
  return out.str();
}

constexpr const char* kLastChunk = "0\r\n\r\n";

/// A relay's request handling behind an HTTP server on loopback.
class TestRelay {
public:
  explicit TestRelay(const relay::Route& route, const relay::Policy& policy = {},
                     size_t read_ahead_bytes = size_t{16} * 1024 * 1024, uint16_t forward_port = 0)
      : state_(settings::RelaySettings{.zone = "z",
                                       .forward_port = forward_port,
                                       .read_ahead_bytes = read_ahead_bytes,
                                       .policy = policy},
               clock_, dialect_),
        server_(
            workers_, http::ServerLimits{.body_bytes = kMaxBodyBytes},
            [this](http::Exchange& exchange) { return handle(exchange); },
            [](http::Status status, const std::string&) {
              return http::makeResponse(status, "text/plain", "");
            }) {
    relay::Configuration configuration;
    configuration.version = 1;
    configuration.services = {relay::Service{.name = "s"}};
    configuration.tenants = {relay::Tenant{.name = "tenant-1", .keys = {"key-1"}}};
    configuration.routes = {route};
    state_.routes = std::make_shared<const relay::RouteTable>(std::move(configuration));
    // Sets the number of relays in the past, so that the relay's share of the slack has accrued.
    constexpr int64_t kLongAgoMs = 60'000;
    state_.budget.setRelays(1, clock_.monotonicMs() - kLongAgoMs);
    state_.lease.confirmed(state_.lease.renewalSent(clock_.monotonicMs()));
    state_.budget.recordConfirmed(clock_.monotonicMs());
    address_ = std::get<std::string>(server_.listen("127.0.0.1:0"));
  }
  ~TestRelay() { workers_.stop(); }
  TestRelay(const TestRelay&) = delete;
  TestRelay& operator=(const TestRelay&) = delete;

  /// @param slots zero if the list does not contain the number
  void addRunner(const std::string& id, const std::string& address, uint32_t slots = 0) {
    v1::RunnerEntry* entry = list_.add_runners();
    entry->set_id(id);
    entry->set_service("s");
    entry->set_address(address);
    entry->set_zone("z");
    entry->set_slots(slots);
    list_.set_version(list_.version() + 1);
    state_.runners.setList(list_, 0);
  }
  /// Must run on the relay's event loop after `start`.
  void replaceRunner(const std::string& former, const std::string& id, const std::string& address) {
    auto* runners = list_.mutable_runners();
    runners->erase(std::remove_if(runners->begin(), runners->end(),
                                  [&](const auto& entry) { return entry.id() == former; }),
                   runners->end());
    addRunner(id, address);
  }
  /// Sets a function that may change admitted requests before they are served. To be called before
  /// `start`.
  void onAdmitted(std::function<void(daemon::RelayRequest&)> change) {
    on_admitted_ = std::move(change);
  }
  void start() { workers_.start(); }
  daemon::RelayState& state() { return state_; }
  SuspendableClock& clock() { return clock_; }
  boost::asio::io_context& context() { return workers_.context(0); }
  const std::string& address() const { return address_; }

  /// Sends a request for path `/work`. @return everything received until the connection is closed.
  std::string sendRequest(const std::string& id, const std::string& more_headers = "") const {
    return send(requestText(id, more_headers));
  }
  /// Sends a complete request given as text. @return everything received until the connection is
  /// closed.
  std::string send(const std::string& request) const { return answerTo(request, address_); }
  static std::string requestText(const std::string& id, const std::string& more_headers = "") {
    return test::requestText(CallerRequest{.id = id, .more_headers = more_headers});
  }

private:
  static constexpr uint64_t kMaxBodyBytes = uint64_t{32} * 1024 * 1024;

  http::awaitable<void> handle(http::Exchange& exchange) {
    auto admitted = daemon::admit(exchange.request(), state_, clock_.monotonicMs());
    if (auto* problem = std::get_if<http::Problem>(&admitted)) {
      http::Response response = http::makeProblem(*problem);
      co_await exchange.respond(std::move(response));
      co_return;
    }
    auto& request = std::get<daemon::RelayRequest>(admitted);
    if (on_admitted_) {
      on_admitted_(request);
    }
    const auto active_request = std::make_shared<daemon::ActiveRequest>(
        workers_.context(0), state_, exchange, std::move(request));
    co_await active_request->run();
  }

  SuspendableClock clock_;
  const TestDialect dialect_{};
  WorkerPool workers_{1};
  daemon::RelayState state_;
  v1::RunnerList list_;
  std::function<void(daemon::RelayRequest&)> on_admitted_;
  http::Server server_;
  std::string address_;
};

inline relay::Route testRoute(relay::RouteKind kind, uint32_t attempts, bool resumable = false) {
  relay::Route route;
  route.name = "r";
  route.host = "h.example";
  route.path_prefix = "/";
  route.kind = kind;
  route.timeout_ms = 2000;
  route.objective_ms = 200;
  route.max_attempts = attempts;
  route.resumable = resumable;
  route.targets.push_back(relay::RouteTarget{.service = "s"});
  return route;
}

/// Decodes every document as a configuration with one route and one service.
class OneRouteCodec : public ConfigurationCodec {
public:
  explicit OneRouteCodec(relay::Route route = testRoute(relay::RouteKind::RunOnce, 1))
      : route_(std::move(route)) {}

  Result<relay::Configuration> decode(std::string_view) const override {
    relay::Configuration configuration;
    configuration.version = 1;
    configuration.services = {relay::Service{.name = "s"}};
    configuration.tenants = {relay::Tenant{.name = "tenant-1", .keys = {"key-1"}},
                             relay::Tenant{.name = "tenant-2", .keys = {"key-2"}}};
    configuration.routes = {route_};
    return configuration;
  }

private:
  const relay::Route route_;
};

} // namespace workshatch::test

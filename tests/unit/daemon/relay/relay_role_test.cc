/// @file
/// Tests of the relay role with a fake leader: readiness and a planned stop.
#include <atomic>
#include <chrono>
#include <deque>
#include <string>
#include <thread>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "unit/daemon/relay/relay_role_fixture.h"

namespace workshatch::test {

namespace {

using std::chrono::milliseconds;

settings::RelaySettings stopWithin(int64_t stop_ms) {
  settings::RelaySettings settings = RunningRelay::defaultSettings();
  settings.bounds.stop_ms = stop_ms;
  settings.policy.peer_forwarding = true;
  return settings;
}

/// A runner that accepts requests and does not finish them before it is destroyed.
class BusyRunner {
public:
  /// @param begin sent as the beginning of each response
  explicit BusyRunner(std::string begin = "")
      : runner_([this, begin](auto& socket, const auto&) {
          writeTo(socket, begin);
          while (!ended_) {
            std::this_thread::sleep_for(milliseconds(1));
          }
        }) {}
  ~BusyRunner() { ended_ = true; }
  BusyRunner(const BusyRunner&) = delete;
  BusyRunner& operator=(const BusyRunner&) = delete;

  std::string address() const { return runner_.address(); }
  bool hasRequest() const { return runner_.requests() > 0; }

private:
  std::atomic<bool> ended_{false};
  ScriptedRunner runner_;
};

bool isRefusal(const std::string& answer) {
  return answer.starts_with("HTTP/1.1 503") &&
         answer.find("Connection: close") != std::string::npos &&
         answer.find("Retry-After: ") != std::string::npos &&
         answer.find("stopping") != std::string::npos;
}

std::string lateRequest(int64_t timeout_ms) {
  return requestText(CallerRequest{.id = "late", .timeout_ms = timeout_ms});
}

/// A caller whose connection was made before the stop. Its request ends where the relay's process
/// would: nothing counts that comes after `stopped`.
class KeptCaller {
public:
  explicit KeptCaller(const RunningRelay& relay) : relay_(relay) {
    socket_.connect(*http::parseEndpoint(relay.settings().caller_address));
  }

  void sendAfter(milliseconds delay, const std::string& request) {
    thread_ = std::thread([this, delay, request] {
      std::this_thread::sleep_for(delay);
      boost::system::error_code failure;
      char byte = 0;
      socket_.non_blocking(true);
      socket_.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek,
                      failure);
      socket_.non_blocking(false);
      closed_ = failure == boost::asio::error::eof;
      boost::asio::write(socket_, boost::asio::buffer(request), failure);
      boost::asio::read(socket_, boost::asio::dynamic_buffer(answer_), failure);
      in_time_ = !relay_.stopped();
      socket_.close(failure);
    });
  }
  void join() { thread_.join(); }

  /// @return whether the relay had closed the connection before the request was sent.
  bool closed() const { return closed_; }
  bool inTime() const { return in_time_; }
  const std::string& answer() const { return answer_; }

private:
  const RunningRelay& relay_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_{context_};
  std::thread thread_;
  bool closed_ = false;
  bool in_time_ = false;
  std::string answer_;
};

} // namespace

TEST_CASE("A planned stop reports not ready, finishes requests in progress, and then completes") {
  std::atomic<bool> runner_may_answer{false};
  std::atomic<bool> runner_has_request{false};
  ScriptedRunner runner([&](auto& socket, const auto&) {
    runner_has_request = true;
    while (!runner_may_answer) {
      std::this_thread::yield();
    }
    writeTo(socket, signedAnswer("q1", "done"));
  });
  RunningRelay relay(runner.address());
  std::string answer;
  std::thread caller([&] { answer = relay.send(TestRelay::requestText("q1")); });
  REQUIRE(within(kTestTimeout, [&] { return runner_has_request.load(); }));
  relay.stop();
  CHECK(within(kTestTimeout, [&] { return !relay.leader().relayIsReady(); }));
  CHECK_FALSE(relay.ready());
  CHECK_FALSE(relay.stopped());
  runner_may_answer = true;
  caller.join();
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.ends_with("done"));
  CHECK(within(kTestTimeout, [&] { return relay.stopped(); }));
}

TEST_CASE("Requests that came late in a planned stop were cut without an answer at its end") {
  BusyRunner runner;
  RunningRelay relay(runner.address(), stopWithin(4000));
  std::deque<KeptCaller> callers;
  for (int i = 0; i < 12; ++i) {
    callers.emplace_back(relay);
  }
  relay.stop();
  milliseconds delay{0};
  for (KeptCaller& caller : callers) {
    caller.sendAfter(delay, lateRequest(2000));
    delay += milliseconds(225);
  }
  for (KeptCaller& caller : callers) {
    caller.join();
    INFO(caller.answer());
    const bool timed_out = caller.answer().starts_with("HTTP/1.1 504");
    CHECK((caller.closed() || (caller.inTime() && (timed_out || isRefusal(caller.answer())))));
  }
  CHECK(callers.front().answer().starts_with("HTTP/1.1 504"));
  CHECK(within(milliseconds(2000), [&] { return relay.stopped(); }));
}

TEST_CASE("A request that might not end before a planned stop does is refused without a run") {
  BusyRunner runner;
  RunningRelay relay(runner.address(), stopWithin(2000));
  relay.stop();
  REQUIRE(within(kTestTimeout, [&] { return !relay.leader().relayIsReady(); }));
  CHECK(isRefusal(relay.send(lateRequest(3000))));
  const std::string forwarded = requestText(
      CallerRequest{.id = "late",
                    .timeout_ms = 3000,
                    .more_headers = "Workshatch-Configuration: 1\r\nWorkshatch-Runs: 0\r\n"});
  const std::string refusal = answerTo(forwarded, "127.0.0.1:18245");
  CHECK(isRefusal(refusal));
  CHECK(refusal.find("Workshatch-Refusal: ") != std::string::npos);
  CHECK_FALSE(runner.hasRequest());
  CHECK(relay.send(lateRequest(500)).starts_with("HTTP/1.1 504"));
  CHECK(runner.hasRequest());
}

TEST_CASE("A request whose body arrives after a stopping relay takes none is refused") {
  BusyRunner runner;
  RunningRelay relay(runner.address(), stopWithin(2000));
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect(*http::parseEndpoint(relay.settings().caller_address));
  const std::string request = lateRequest(100);
  boost::asio::write(socket, boost::asio::buffer(request.substr(0, request.size() - 1)));
  relay.stop();
  std::this_thread::sleep_for(milliseconds(900));
  boost::asio::write(socket, boost::asio::buffer(request.substr(request.size() - 1)));
  std::string answer;
  boost::system::error_code ignored;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ignored);
  CHECK(isRefusal(answer));
  CHECK_FALSE(runner.hasRequest());
}

TEST_CASE(
    "Requests at work at the end of a planned stop get a response, and streams their events") {
  const std::string event = chunk("id: 1\ndata: a\n\n");
  bool stream = false;
  SUBCASE("plain") {}
  SUBCASE("stream") { stream = true; }
  BusyRunner runner(stream ? streamHead("late") + event : "");
  relay::Route route =
      testRoute(stream ? relay::RouteKind::Streaming : relay::RouteKind::RunOnce, 1);
  route.timeout_ms = 10'000;
  RunningRelay relay(runner.address(), stopWithin(1000), route);
  KeptCaller caller(relay);
  caller.sendAfter(milliseconds(0), lateRequest(10'000));
  REQUIRE(within(kTestTimeout, [&] { return runner.hasRequest(); }));
  relay.stop();
  caller.join();
  CHECK(caller.inTime());
  CHECK(caller.answer().starts_with(stream ? "HTTP/1.1 200" : "HTTP/1.1 504"));
  CHECK(caller.answer().ends_with(event) == stream);
  CHECK(within(milliseconds(2000), [&] { return relay.stopped(); }));
}

TEST_CASE("A stopping relay takes a request whose route has shown to take less than its limit") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q", "done")); });
  TestRelay relay(testRoute(relay::RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address());
  const int64_t now_ms = relay.clock().monotonicMs();
  bool known = false;
  SUBCASE("not known") {}
  SUBCASE("known") { known = true; }
  for (uint32_t i = 0; known && i < relay::RequestDurations::kMinRequests; ++i) {
    relay.state().request_durations.recordEnded("r", 100, now_ms - 3000 + i);
  }
  relay.state().stop = relay::plannedStop(now_ms, 1000);
  relay.start();
  CHECK(relay.sendRequest("q").starts_with(known ? "HTTP/1.1 200" : "HTTP/1.1 503"));
  CHECK(runner.requests() == (known ? 1 : 0));
}

} // namespace workshatch::test

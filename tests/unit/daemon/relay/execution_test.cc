/// @file
/// Tests of what a relay concludes about the run of a request at a runner: that it has not run,
/// that it has ended, or neither. Each is named after the failure that it guards against.
#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

using relay::RouteKind;
using std::chrono::milliseconds;

namespace {

/// Longer than the silence after which a stream may move to another runner.
constexpr milliseconds kLongerThanSilence{2200};

/// Within the time for which the end of a run is looked for.
constexpr milliseconds kAfterClose{500};

/// Shortest time between two calls for the report of a runner.
constexpr milliseconds kReportPeriod{150};

/// Blocks until the other end of the connection has closed its side.
void awaitEndOfRequests(ScriptedRunner::Socket& socket) {
  std::string rest;
  boost::system::error_code ended;
  boost::asio::read(socket, boost::asio::dynamic_buffer(rest), ended);
}

std::string eventOf(int number) { return chunk("id: " + std::to_string(number) + "\ndata: d\n\n"); }

std::string streamFrom(int first, int last) {
  std::string events;
  for (int number = first; number <= last; ++number) {
    events += eventOf(number);
  }
  return events + kLastChunk;
}

/// Two runners of one service, the first of which a test scripts; the second one answers whatever
/// it receives.
struct TwoRunners {
  TwoRunners(const relay::Route& route, ScriptedRunner::Script first_script,
             ScriptedRunner::Script second_script, const relay::Policy& policy = {})
      : first(std::move(first_script)), second(std::move(second_script)), relay(route, policy) {
    // The runner with the lower load is chosen.
    relay.addRunner("runner-1", first.address());
    relay.addRunner("runner-2", second.address());
    relay.state().runners.runners()[indexOf("runner-2")]->in_progress = 1;
    relay.start();
  }

  size_t indexOf(const std::string& id) {
    const auto& runners = relay.state().runners.runners();
    return runners[0]->entry.id() == id ? 0 : 1;
  }

  ScriptedRunner first;
  ScriptedRunner second;
  TestRelay relay;
};

/// A request that must run at most once, whose first runner gives the response.
struct RefusedOnce : TwoRunners {
  explicit RefusedOnce(std::string response)
      : TwoRunners(
            testRoute(RouteKind::RunOnce, 3),
            [response = std::move(response)](auto& socket, const auto&) {
              writeTo(socket, response);
            },
            [](auto& socket, const std::string& request) {
              writeTo(socket, signedAnswer(requestIdOf(request), "second run"));
            }) {}
};

relay::Route resumableRoute() {
  relay::Route route = testRoute(RouteKind::Streaming, 2, true);
  route.timeout_ms = 9000;
  return route;
}

/// Renews the lease of the relay, which may have expired while a runner stood still.
void renewLease(TestRelay& relay) {
  std::promise<void> renewed;
  boost::asio::post(relay.context(), [&] {
    auto& lease = relay.state().lease;
    lease.confirmed(lease.renewalSent(relay.clock().monotonicMs()));
    renewed.set_value();
  });
  renewed.get_future().get();
}

std::string askForStream(const TestRelay& relay, const std::string& id = "q1") {
  return answerTo(requestText(CallerRequest{.id = id, .timeout_ms = 9000}), relay.address());
}

} // namespace

TEST_CASE("A refusal without a request id is believed, and the request runs twice") {
  for (const std::string status : {"503 Full", "429 Later", "421 Misdirected Request"}) {
    CAPTURE(status);
    RefusedOnce fleet("HTTP/1.1 " + status + "\r\nW-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    CHECK(fleet.relay.sendRequest("q1").starts_with("HTTP/1.1 502"));
    CHECK(fleet.first.requests() == 1);
    CHECK(fleet.second.requests() == 0);
  }
}

TEST_CASE("A refusal with two request ids is believed, and the request runs twice") {
  RefusedOnce fleet("HTTP/1.1 503 Full\r\nW-Request: q1\r\nW-Request: q0\r\nW-Not-Run: 1\r\n"
                    "Content-Length: 0\r\n\r\n");
  CHECK(fleet.relay.sendRequest("q1").starts_with("HTTP/1.1 502"));
  CHECK(fleet.second.requests() == 0);
}

TEST_CASE("A success that says it was not run is believed, and the request runs twice") {
  RefusedOnce fleet("HTTP/1.1 200 OK\r\nW-Request: q1\r\nW-Signature: s\r\nW-Not-Run: 1\r\n"
                    "Content-Length: 0\r\n\r\n");
  CHECK(fleet.relay.sendRequest("q1").starts_with("HTTP/1.1 502"));
  CHECK(fleet.second.requests() == 0);
}

TEST_CASE("A caller is told that a request has not run by the status of a runner that ran it") {
  for (const std::string status : {"503 Busy", "429 Later", "408 Timeout"}) {
    CAPTURE(status);
    RefusedOnce fleet("HTTP/1.1 " + status +
                      "\r\nW-Request: q1\r\nW-Signature: s\r\n"
                      "Content-Length: 0\r\n\r\n");
    const std::string answer = fleet.relay.sendRequest("q1");
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(answer.find("W-Signature") == std::string::npos);
    CHECK(fleet.second.requests() == 0);
  }
}

TEST_CASE("A second copy of a refusal is taken for another refusal, and the request runs twice") {
  std::atomic<int> runs{0};
  const std::string refusal =
      "HTTP/1.1 421 Misdirected Request\r\nW-Request: q1\r\nContent-Length: 0\r\n\r\n";
  // The process at the first address is the successor of `runner-1`, which is still listed.
  ScriptedRunner first([&](auto& socket, const std::string&) {
    writeTo(socket, refusal);
    std::string next;
    boost::system::error_code ended;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(next), "\r\n\r\n", ended);
    if (!ended) {
      ++runs;
      writeTo(socket, refusal + signedAnswer("q1", "run"));
    }
  });
  ScriptedRunner second([&](auto& socket, const std::string&) {
    ++runs;
    writeTo(socket, signedAnswer("q1", "run"));
  });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  const std::vector<std::pair<std::string, std::string>> listed = {
      {"runner-1", first.address()}, {"runner-2", first.address()}, {"runner-3", second.address()}};
  uint32_t load = 0;
  for (const auto& [id, address] : listed) {
    relay.addRunner(id, address);
    for (const auto& runner : relay.state().runners.runners()) {
      runner->in_progress = runner->entry.id() == id ? load : runner->in_progress;
    }
    ++load;
  }
  relay.start();
  CHECK(relay.sendRequest("q1").starts_with("HTTP/1.1 200"));
  CHECK(runs == 1);
}

TEST_CASE(
    "A late copy of another request's response costs its caller the response that follows it") {
  const std::string refusal_of_other = "HTTP/1.1 503 Full\r\nW-Request: q0\r\nW-Not-Run: 1\r\n"
                                       "Content-Length: 0\r\n\r\n";
  const auto answerOf = [](const std::string& id) {
    return "HTTP/1.1 200 OK\r\nW-Request: " + id +
           "\r\nW-Signature: s\r\nContent-Length: 3\r\n\r\nrun";
  };
  for (const int copies : {1, 2}) {
    CAPTURE(copies);
    for (const auto& copy : {answerOf("q0"), refusal_of_other}) {
      std::atomic<int> runs{0};
      ScriptedRunner runner([&](auto& socket, const std::string&) {
        writeTo(socket, answerOf("q0"));
        std::string next;
        boost::system::error_code ended;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(next), "\r\n\r\n", ended);
        if (!ended) {
          ++runs;
          writeTo(socket, copy + (copies == 2 ? copy : "") + answerOf("q1"));
          awaitEndOfRequests(socket);
        }
      });
      TestRelay relay(testRoute(RouteKind::RunOnce, 1));
      relay.addRunner("runner-1", runner.address());
      relay.start();
      CHECK(relay.sendRequest("q0").starts_with("HTTP/1.1 200"));
      const std::string answer = relay.sendRequest("q1");
      // One copy may come late, so that a second one shows that the runner answers out of turn.
      CHECK(answer.starts_with(copies == 1 ? "HTTP/1.1 200" : "HTTP/1.1 502"));
      CHECK(answer.find("W-Request: q0") == std::string::npos);
      CHECK(runs == 1);
    }
  }
}

TEST_CASE("A forwarded request is sent to a process that has refused it at the other relay") {
  ScriptedRunner runner([](auto& socket, const std::string& request) {
    writeTo(socket, signedAnswer(requestIdOf(request), "run"));
  });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address());
  relay.onAdmitted([&](daemon::RelayRequest& request) {
    request.origin =
        daemon::ForwardOrigin{.configuration_version = 1, .sent_to = {runner.address()}};
  });
  relay.start();
  const std::string answer = relay.sendRequest("q1");
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("Workshatch-Sent-To: " + runner.address()) != std::string::npos);
  CHECK(runner.requests() == 0);
}

TEST_CASE(
    "An error response without a request id reaches a caller whose request it does not name") {
  RefusedOnce fleet("HTTP/1.1 404 None\r\nW-Signature: s\r\nContent-Length: 5\r\n\r\nother");
  const std::string answer = fleet.relay.sendRequest("q1");
  CHECK(answer.starts_with("HTTP/1.1 502"));
  CHECK(answer.find("other") == std::string::npos);
}

TEST_CASE("A stream goes on at a second runner while the first one stands still") {
  std::atomic<bool> stands_still{true};
  TwoRunners fleet(
      resumableRoute(),
      [&](auto& socket, const std::string&) {
        writeTo(socket, streamHead("q1") + eventOf(1));
        within(kTestTimeout, [&] { return !stands_still; });
        awaitEndOfRequests(socket);
      },
      [](auto& socket, const std::string&) {
        writeTo(socket, streamHead("q1") + streamFrom(2, 3));
      });
  auto answer = std::async(std::launch::async, [&] { return askForStream(fleet.relay); });
  REQUIRE(within(kTestTimeout, [&] { return fleet.first.requests() == 1; }));
  // A runner that stands still accepts connections and sees nothing of those that are closed.
  CHECK_FALSE(within(kLongerThanSilence, [&] { return fleet.second.requests() > 0; }));
  renewLease(fleet.relay);
  stands_still = false;
  const std::string whole = answer.get();
  CHECK(fleet.second.requests() == 1);
  CHECK(whole.find("id: 3") != std::string::npos);
  CHECK(whole.ends_with(kLastChunk));
}

TEST_CASE("A runner that stands still and takes no more connections is thought out of reach") {
  std::atomic<bool> stands_still{true};
  std::atomic<bool> began{false};
  std::atomic<bool> second_asked{false};
  // Accepts one connection, and as a suspended process none of those that queue up after it.
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(context);
  const boost::asio::ip::tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
  acceptor.open(any.protocol());
  acceptor.bind(any);
  acceptor.listen(1);
  std::thread first([&] {
    ScriptedRunner::Socket socket(context);
    acceptor.accept(socket);
    std::string request;
    boost::system::error_code ignored;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ignored);
    began = true;
    writeTo(socket, streamHead("q1") + eventOf(1));
    within(kTestTimeout, [&] { return !stands_still; });
    awaitEndOfRequests(socket);
    socket.close();
    // It runs again: it takes the connections that have queued up, and reports no run.
    for (bool reported = false; !reported && !second_asked;) {
      ScriptedRunner::Socket next(context);
      acceptor.accept(next);
      std::string call;
      boost::asio::read_until(next, boost::asio::dynamic_buffer(call), "\r\n\r\n", ignored);
      reported = isReportCall(call);
      if (reported) {
        writeTo(next, reportAnswer(""));
      }
    }
  });
  ScriptedRunner second([&](auto& socket, const std::string&) {
    second_asked = true;
    writeTo(socket, streamHead("q1") + streamFrom(2, 3));
  });
  TestRelay relay(resumableRoute());
  relay.addRunner("runner-1", "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
  relay.start();
  auto answer = std::async(std::launch::async, [&] { return askForStream(relay); });
  REQUIRE(within(kTestTimeout, [&] { return began.load(); }));
  boost::asio::post(relay.context(), [&] { relay.addRunner("runner-2", second.address()); });
  // Fills the queue of connections that have not been accepted.
  std::vector<ScriptedRunner::Socket> queued;
  for (int i = 0; i < 3; ++i) {
    queued.emplace_back(context);
    queued.back().open(any.protocol());
    queued.back().native_non_blocking(true);
    const auto endpoint = acceptor.local_endpoint();
    // Not by the socket's own operation, which waits for the result.
    [[maybe_unused]] const int in_progress = ::connect(
        queued.back().native_handle(), endpoint.data(), static_cast<socklen_t>(endpoint.size()));
  }
  CHECK_FALSE(within(kLongerThanSilence, [&] { return second.requests() > 0; }));
  renewLease(relay);
  queued.clear();
  stands_still = false;
  CHECK(answer.get().ends_with(kLastChunk));
  first.join();
  CHECK(second.requests() == 1);
}

TEST_CASE("A stream goes on at a second runner while the first one, which has closed, is at work") {
  using boost::asio::ip::tcp;
  for (const bool half : {false, true}) {
    CAPTURE(half);
    TwoRunners fleet(
        resumableRoute(),
        [half](auto& socket, const std::string&) {
          writeTo(socket, streamHead("q1") + eventOf(1));
          boost::system::error_code ignored;
          socket.shutdown(half ? tcp::socket::shutdown_send : tcp::socket::shutdown_both, ignored);
        },
        [](auto& socket, const std::string&) {
          writeTo(socket, streamHead("q1") + streamFrom(2, 3));
        });
    fleet.first.reportRuns("q0 q1");
    auto answer = std::async(std::launch::async, [&] { return askForStream(fleet.relay); });
    REQUIRE(within(kTestTimeout, [&] { return fleet.first.requests() == 1; }));
    CHECK_FALSE(within(kAfterClose, [&] { return fleet.second.requests() > 0; }));
    fleet.first.reportRuns("q0");
    CHECK(answer.get().ends_with(kLastChunk));
    CHECK(fleet.second.requests() == 1);
  }
}

TEST_CASE("A stream goes on elsewhere though nothing shows that its closed run has ended") {
  TwoRunners fleet(
      resumableRoute(),
      [](auto& socket, const std::string&) { writeTo(socket, streamHead("q1") + eventOf(1)); },
      [](auto& socket, const std::string&) {
        writeTo(socket, streamHead("q1") + streamFrom(2, 3));
      });
  fleet.first.reportRuns("q1");
  const std::string answer = askForStream(fleet.relay);
  CHECK(answer.find("id: 1") != std::string::npos);
  CHECK_FALSE(answer.ends_with(kLastChunk));
  CHECK(fleet.second.requests() == 0);
}

TEST_CASE("Each of the streams that their runner has closed asks for a report of its own") {
  constexpr int kStreams = 8;
  const std::string all_runs = "q0 q1 q2 q3 q4 q5 q6 q7";
  TwoRunners fleet(
      resumableRoute(),
      [](auto& socket, const std::string& request) {
        writeTo(socket, streamHead(requestIdOf(request)) + eventOf(1));
      },
      [](auto& socket, const std::string& request) {
        writeTo(socket, streamHead(requestIdOf(request)) + streamFrom(2, 3));
      });
  fleet.relay.state().runners.runners()[fleet.indexOf("runner-2")]->in_progress = kStreams;
  fleet.first.reportRuns(all_runs);
  std::vector<std::future<std::string>> answers;
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < kStreams; ++i) {
    answers.push_back(std::async(std::launch::async, [&fleet, i] {
      return askForStream(fleet.relay, "q" + std::to_string(i));
    }));
  }
  REQUIRE(within(kTestTimeout, [&] { return fleet.first.requests() == kStreams; }));
  CHECK(fleet.second.requests() == 0);
  fleet.first.reportRuns("");
  for (auto& answer : answers) {
    CHECK(answer.get().ends_with(kLastChunk));
  }
  CHECK(fleet.second.requests() == kStreams);
  const auto took =
      std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - began);
  CHECK(fleet.first.reportCalls() <= 1 + took / kReportPeriod);
}

TEST_CASE("A runner that refuses one call for its report is taken for one that makes none") {
  for (const std::string status : {"429 Too Many Requests", "408 Request Timeout"}) {
    CAPTURE(status);
    TwoRunners fleet(
        resumableRoute(),
        [](auto& socket, const std::string&) { writeTo(socket, streamHead("q1") + eventOf(1)); },
        [](auto& socket, const std::string&) {
          writeTo(socket, streamHead("q1") + streamFrom(2, 3));
        });
    fleet.first.refuseReports(2, status);
    CHECK(askForStream(fleet.relay).ends_with(kLastChunk));
    CHECK(fleet.first.reportCalls() >= 3);
  }
}

TEST_CASE("A stream whose runner sends bytes that are no answer goes on while that run does") {
  std::atomic<bool> runs{true};
  TwoRunners fleet(
      resumableRoute(),
      [&](auto& socket, const std::string&) {
        writeTo(socket, streamHead("q1") + eventOf(1) + "no chunk\r\n");
        within(kTestTimeout, [&] { return !runs; });
      },
      [](auto& socket, const std::string&) {
        writeTo(socket, streamHead("q1") + streamFrom(2, 3));
      });
  const std::string answer = askForStream(fleet.relay);
  CHECK(fleet.second.requests() == 0);
  CHECK(answer.find("id: 1") != std::string::npos);
  CHECK_FALSE(answer.ends_with(kLastChunk));
  runs = false;
}

TEST_CASE("A sound stream that is silent for a while is given up though none can replace it") {
  relay::Policy without_retries;
  without_retries.repeats = false;
  TwoRunners fleet(
      resumableRoute(),
      [&](auto& socket, const std::string&) {
        writeTo(socket, streamHead("q1") + eventOf(1));
        // Goes on unless its caller has closed the connection meanwhile.
        char byte = 0;
        const bool closed = within(kLongerThanSilence, [&] {
          return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
        });
        if (!closed) {
          writeTo(socket, streamFrom(2, 3));
        }
      },
      [](auto&, const std::string&) {}, without_retries);
  const std::string answer = askForStream(fleet.relay);
  CHECK(answer.find("id: 3") != std::string::npos);
  CHECK(answer.ends_with(kLastChunk));
  CHECK(fleet.second.requests() == 0);
}

} // namespace workshatch::test

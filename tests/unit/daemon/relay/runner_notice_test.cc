/// @file
/// Tests of the notices in runners' response headers: backoffs and the announcement of leaving.
/// Some tests are named after the failure that they guard against.
#include <string>

#include <doctest/doctest.h>

#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

using relay::RouteKind;

namespace {

/// Script of a runner that declines all requests. @param more_headers added to its responses
ScriptedRunner::Script declining(std::string more_headers) {
  return [more_headers = std::move(more_headers)](auto& socket, const std::string& request) {
    writeTo(socket, "HTTP/1.1 503 Full\r\nW-Request: " + requestIdOf(request) +
                        "\r\nW-Not-Run: 1\r\n" + more_headers + "Content-Length: 0\r\n\r\n");
  };
}

/// Script of a runner that runs all requests. @param more_headers added to its responses
ScriptedRunner::Script running(const std::string& more_headers = "") {
  return [more_headers](auto& socket, const std::string& request) {
    writeTo(socket, signedAnswer(requestIdOf(request), "done", "200 OK" + more_headers));
  };
}

/// Sends requests with different ids, so that a runner is chosen randomly for each.
class Caller {
public:
  explicit Caller(const TestRelay& relay) : relay_(relay) {}
  /// Sends requests one after another. @return how many of them succeeded.
  int answered(int requests) {
    int count = 0;
    for (int i = 0; i < requests; ++i) {
      count += relay_.sendRequest("q" + std::to_string(++sent_)).ends_with("done") ? 1 : 0;
    }
    return count;
  }

private:
  const TestRelay& relay_;
  int sent_ = 0;
};

} // namespace

TEST_CASE("A runner gets requests during the backoff that it requested") {
  ScriptedRunner backing_off(declining("W-Backoff: 3000\r\n"));
  ScriptedRunner free(running());
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", backing_off.address());
  relay.addRunner("runner-2", free.address());
  relay.start();
  Caller caller(relay);
  CHECK(caller.answered(10) == 10);
  CHECK(backing_off.requests() == 1);
  relay.clock().sleepFor(1500);
  CHECK(caller.answered(10) == 10);
  CHECK(backing_off.requests() == 1);
  // The backoff has ended.
  relay.clock().sleepFor(1500);
  CHECK(caller.answered(10) == 10);
  CHECK(backing_off.requests() == 2);
}

TEST_CASE("A request is refused at once, and not sent, if all runners are in a backoff") {
  ScriptedRunner backing_off(declining("W-Backoff: 700\r\n"));
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", backing_off.address());
  relay.start();
  Caller caller(relay);
  CHECK(caller.answered(1) == 0);
  relay.clock().sleepFor(600);
  const std::string refused = relay.sendRequest("q9");
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(refused.find("all_backing_off") != std::string::npos);
  // The caller should retry when the runner's backoff ends.
  const size_t retry_after = refused.find("Retry-After: ");
  REQUIRE(retry_after != std::string::npos);
  CHECK(std::stoi(refused.substr(retry_after + 13)) <= 100);
  CHECK(backing_off.requests() == 1);
  CHECK(relay.state().stats.outcomes["all_backing_off"] == 1);
}

TEST_CASE("A request is not sent if the runner requests a backoff after it was chosen") {
  ScriptedRunner free(running());
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", free.address());
  const auto runner = relay.state().runners.runners()[0];
  // Simulates a response to another request that arrives while the slot is being claimed.
  const auto peers = std::make_shared<daemon::RelayPeers>(relay.context(), relay.state().clock);
  REQUIRE_FALSE(isError(peers->open("127.0.0.1:18305")));
  relay.state().slot_client =
      std::make_shared<daemon::SlotClient>(peers, relay.state().clock, 1, [&](uint64_t) {
        relay.state().runners.applyNotice(*runner, relay::RunnerNotice{.backoff_ms = 3000},
                                          relay.state().clock.monotonicMs());
        return relay::OwnedRunner{.listed = true};
      });
  peers->setRelays({"127.0.0.1:18305"});
  relay.start();
  const std::string refused = relay.sendRequest("q1");
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(free.requests() == 0);
  CHECK(relay.state().stats.attempts["withdrawn"] == 1);
  CHECK(relay.state().stats.sent_in_backoff == 0);
}

TEST_CASE("A runner gets requests after it announced that it is leaving") {
  ScriptedRunner leaving(running("\r\nW-Leaving: 1"));
  ScriptedRunner staying(running());
  relay::Route route = testRoute(RouteKind::RunOnce, 1);
  // Anonymous requests are served even without a lease.
  route.anonymous = true;
  TestRelay relay(route);
  relay.addRunner("runner-1", leaving.address());
  relay.addRunner("runner-2", staying.address());
  relay.start();
  Caller caller(relay);
  CHECK(caller.answered(10) == 10);
  CHECK(leaving.requests() == 1);
  // Also after the machine was suspended and without contact to the group.
  relay.clock().sleepFor(60'000);
  CHECK(caller.answered(10) == 10);
  CHECK(leaving.requests() == 1);
}

TEST_CASE("A runner gets requests after it announced its leaving in a failure or a decline") {
  for (const bool declines : {true, false}) {
    CAPTURE(declines);
    ScriptedRunner leaving(
        declines ? declining("W-Leaving: 1\r\n") : [](auto& socket, const std::string& request) {
          writeTo(socket, signedAnswer(requestIdOf(request), "bad", "500 Bad\r\nW-Leaving: 1"));
        });
    TestRelay relay(testRoute(RouteKind::RunOnce, 1));
    relay.addRunner("runner-1", leaving.address());
    relay.start();
    Caller caller(relay);
    CHECK(caller.answered(5) == 0);
    CHECK(leaving.requests() == 1);
  }
}

TEST_CASE("A stream is lost if its runner announces in its headers that it is leaving") {
  ScriptedRunner leaving([](auto& socket, const std::string& request) {
    std::string head = streamHead(requestIdOf(request));
    head.insert(head.size() - 2, "W-Leaving: 1\r\n");
    writeTo(socket, head + chunk("id: 1\ndata: a\n\n"));
    writeTo(socket, chunk("id: 2\ndata: b\n\n") + kLastChunk);
  });
  TestRelay relay(testRoute(RouteKind::Streaming, 1));
  relay.addRunner("runner-1", leaving.address());
  relay.start();
  const std::string answer = relay.sendRequest("q1");
  CHECK(answer.find("data: a") != std::string::npos);
  CHECK(answer.find("data: b") != std::string::npos);
  CHECK(relay.sendRequest("q2").starts_with("HTTP/1.1 503"));
  CHECK(leaving.requests() == 1);
}

} // namespace workshatch::test

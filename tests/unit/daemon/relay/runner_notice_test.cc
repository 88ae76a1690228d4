/// @file
/// What a runner's answers say of further requests decides which requests it gets from here on.
#include <string>

#include <doctest/doctest.h>

#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

using relay::RouteKind;

namespace {

/// A runner that declines whatever comes. @param more_headers of its answers
ScriptedRunner::Script declining(std::string more_headers) {
  return [more_headers = std::move(more_headers)](auto& socket, const std::string& request) {
    say(socket, "HTTP/1.1 503 Full\r\nW-Request: " + requestIdOf(request) +
                    "\r\nW-Not-Run: 1\r\n" + more_headers + "Content-Length: 0\r\n\r\n");
  };
}

/// A runner that runs whatever comes. @param more_headers of its answers
ScriptedRunner::Script running(const std::string& more_headers = "") {
  return [more_headers](auto& socket, const std::string& request) {
    say(socket, signedAnswer(requestIdOf(request), "done", "200 OK" + more_headers));
  };
}

/// Requests, each with an id of its own, so that each is drawn a runner by itself.
class Caller {
public:
  explicit Caller(const TestRelay& relay) : relay_(relay) {}
  /// @return how many of so many requests were answered whole.
  int answered(int requests) {
    int count = 0;
    for (int i = 0; i < requests; ++i) {
      count += relay_.ask("q" + std::to_string(++asked_)).ends_with("done") ? 1 : 0;
    }
    return count;
  }

private:
  const TestRelay& relay_;
  int asked_ = 0;
};

} // namespace

TEST_CASE("A runner that asked for a backoff gets requests all the same") {
  ScriptedRunner tired(declining("W-Backoff: 3000\r\n"));
  ScriptedRunner free(running());
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", tired.address());
  relay.addRunner("runner-2", free.address());
  relay.start();
  Caller caller(relay);
  CHECK(caller.answered(10) == 10);
  CHECK(tired.requests() == 1);
  relay.clock().sleepFor(1500);
  CHECK(caller.answered(10) == 10);
  CHECK(tired.requests() == 1);
  // Its time is over.
  relay.clock().sleepFor(1500);
  CHECK(caller.answered(10) == 10);
  CHECK(tired.requests() == 2);
}

TEST_CASE("A runner that said it is leaving gets requests all the same") {
  ScriptedRunner leaving(running("\r\nW-Leaving: 1"));
  ScriptedRunner staying(running());
  relay::Route route = testRoute(RouteKind::RunOnce, 1);
  // Served also when the group has been silent for long.
  route.anonymous = true;
  TestRelay relay(route);
  relay.addRunner("runner-1", leaving.address());
  relay.addRunner("runner-2", staying.address());
  relay.start();
  Caller caller(relay);
  CHECK(caller.answered(10) == 10);
  CHECK(leaving.requests() == 1);
  // Out of touch with the group, and asleep in between.
  relay.clock().sleepFor(60'000);
  CHECK(caller.answered(10) == 10);
  CHECK(leaving.requests() == 1);
}

} // namespace workshatch::test

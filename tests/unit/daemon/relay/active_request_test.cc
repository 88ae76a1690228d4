/// @file
/// Tests of serving one request, from the view of its caller and of the runners: runs at most once,
/// only complete responses, and correct refusals. The test of invalid timeout headers is named
/// after the failure that it guards against.
#include <future>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

using relay::RouteKind;

namespace {

/// A relay's datagram transport and its client for slots.
struct SlotSetup {
  std::shared_ptr<daemon::RelayPeers> peers;
  std::shared_ptr<daemon::SlotClient> client;
};

/// @param address for the relay's datagrams
SlotSetup makeSlotSetup(TestRelay& relay, const std::string& address, uint32_t incarnation,
                        daemon::SlotClient::RunnerSource runner_source) {
  SlotSetup slots;
  slots.peers = std::make_shared<daemon::RelayPeers>(relay.context(), relay.state().clock);
  REQUIRE_FALSE(isError(slots.peers->open(address)));
  slots.client = std::make_shared<daemon::SlotClient>(slots.peers, relay.state().clock, incarnation,
                                                      std::move(runner_source));
  return slots;
}

/// Makes the relay the owner of all runners. @param address for the relay's datagrams
SlotSetup ownAllSlots(TestRelay& relay, const std::string& address) {
  SlotSetup slots =
      makeSlotSetup(relay, address, 1, [](uint64_t) { return relay::OwnedRunner{.listed = true}; });
  slots.peers->setRelays({address});
  relay.state().slot_client = slots.client;
  return slots;
}

/// Fills the only runner, which has one slot: while its service time is not known, a plain runner
/// gets two requests for each slot.
std::vector<daemon::SlotGuard> takeAllSlots(TestRelay& relay) {
  const uint64_t fingerprint = relay.state().runners.runners()[0]->fingerprint;
  std::vector<daemon::SlotGuard> taken;
  for (int i = 0; i < 2; ++i) {
    taken.push_back(relay.state().slot_client->takeWithoutClaim(fingerprint));
  }
  return taken;
}

} // namespace

TEST_CASE("A runner gets the request without its key, with tenant, target and remaining time") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address());
  relay.start();
  const std::string answer = relay.sendRequest("q1", "W-Tenant: forged\r\nX-Other: kept\r\n");
  CHECK(answer.starts_with("HTTP/1.1 200 OK"));
  CHECK(answer.find("W-Signature: s") != std::string::npos);
  CHECK(answer.ends_with("done"));
  const std::string& request = runner.lastRequest();
  CHECK(request.starts_with("POST /work HTTP/1.1\r\n"));
  CHECK(request.find("key-1") == std::string::npos);
  CHECK(request.find("forged") == std::string::npos);
  CHECK(request.find("W-Tenant: tenant-1\r\n") != std::string::npos);
  CHECK(request.find("W-Runner: runner-1\r\n") != std::string::npos);
  CHECK(request.find("X-Other: kept\r\n") != std::string::npos);
  const size_t deadline = request.find("W-Deadline: ");
  REQUIRE(deadline != std::string::npos);
  // The route allows less than the caller.
  CHECK(std::stoi(request.substr(deadline + 12)) <= 2000);
}

TEST_CASE("A request in progress keeps the former configuration in memory") {
  TestRelay* tested = nullptr;
  std::weak_ptr<const relay::RouteTable> former;
  bool released = false;
  ScriptedRunner runner([&](auto& socket, const auto&) {
    std::promise<bool> replaced;
    boost::asio::post(tested->context(), [&] {
      former = tested->state().routes;
      tested->state().routes =
          std::make_shared<const relay::RouteTable>(tested->state().routes->configuration());
      replaced.set_value(former.expired());
    });
    released = replaced.get_future().get();
    writeTo(socket, signedAnswer("q1", "done"));
  });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  tested = &relay;
  relay.addRunner("runner-1", runner.address());
  relay.start();
  CHECK(relay.sendRequest("q1").ends_with("done"));
  CHECK(released);
}

TEST_CASE("Headers that only the system may set are removed from callers' requests") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address());
  relay.start();
  const std::string answer = relay.sendRequest(
      "q1", "W-Reserved: forged\r\nw-runner: forged\r\nW-PRIORITY: forged\r\nW-Fetch: forged\r\n");
  CHECK(answer.ends_with("done"));
  CHECK(runner.lastRequest().find("forged") == std::string::npos);
  CHECK(runner.lastRequest().find("W-Runner: runner-1\r\n") != std::string::npos);
}

TEST_CASE("A request without a known key, route or id is refused and not sent to any runner") {
  ScriptedRunner runner([](auto&, const auto&) {});
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address());
  relay.start();
  CHECK(relay.sendRequest("", "").starts_with("HTTP/1.1 400"));
  CHECK(relay.sendRequest("q1\r\nW-Key: other").starts_with("HTTP/1.1 401"));
  CHECK(runner.requests() == 0);
}

TEST_CASE("A request with an invalid timeout header gets no answer") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address());
  relay.start();
  for (const char* timeout : {"inf", "nan", "1e300", "-5", "soon"}) {
    CAPTURE(timeout);
    const std::string answer = relay.send(
        "POST /work HTTP/1.1\r\nHost: h.example\r\nW-Request: q1\r\nW-Key: key-1\r\nW-Deadline: " +
        std::string(timeout) + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi");
    CHECK(answer.ends_with("done"));
  }
}

TEST_CASE("A non-repeatable request is not sent again after it may have run") {
  const auto script = [](auto& socket, const auto&) { socket.close(); };
  ScriptedRunner first(script);
  ScriptedRunner second(script);
  TestRelay relay(testRoute(RouteKind::RunOnce, 3));
  relay.addRunner("runner-1", first.address());
  relay.addRunner("runner-2", second.address());
  relay.start();
  CHECK(relay.sendRequest("q1").starts_with("HTTP/1.1 502"));
  CHECK(first.requests() + second.requests() == 1);
}

TEST_CASE("A declined request is sent to another runner, and is refused if all runners decline") {
  const std::string declined =
      "HTTP/1.1 503 Full\r\nW-Request: q1\r\nW-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  ScriptedRunner full([&](auto& socket, const auto&) { writeTo(socket, declined); });
  ScriptedRunner free(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", full.address());
  relay.start();
  const std::string refused = relay.sendRequest("q1");
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(refused.find("Retry-After") != std::string::npos);
  relay.addRunner("runner-2", free.address());
  CHECK(relay.sendRequest("q1").ends_with("done"));
}

TEST_CASE("A request is refused at once, and not sent, if all runners are full") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  relay::Route route = testRoute(RouteKind::RunOnce, 1);
  // A wait would take a fifth of this time.
  route.objective_ms = 60'000;
  TestRelay relay(route);
  relay.addRunner("runner-1", runner.address(), 1);
  const auto busy = relay.state().runners.runners()[0];
  busy->in_progress = 2;
  relay.start();
  const std::string refused = relay.sendRequest("q1");
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(refused.find("Retry-After") != std::string::npos);
  CHECK(refused.find("all_full") != std::string::npos);
  // A request that waited would have ended at its time limit, with another outcome.
  CHECK(relay.state().stats.outcomes["all_full"] == 1);
  CHECK(runner.requests() == 0);
  boost::asio::post(relay.context(), [&] { busy->in_progress = 1; });
  CHECK(relay.sendRequest("q1").ends_with("done"));
}

TEST_CASE("A slot is claimed from its owner before a request is sent, and released at its end") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address(), 1);
  const auto slots = ownAllSlots(relay, "127.0.0.1:18303");
  std::vector<daemon::SlotGuard> taken = takeAllSlots(relay);
  relay.start();
  const std::string refused = relay.sendRequest("q1");
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(refused.find("all_full") != std::string::npos);
  CHECK(runner.requests() == 0);
  // Slots must be released on the relay's event loop.
  std::promise<void> released;
  boost::asio::post(relay.context(), [&] {
    taken.clear();
    released.set_value();
  });
  released.get_future().wait();
  CHECK(relay.sendRequest("q1").find("done") != std::string::npos);
  CHECK(relay.sendRequest("q1").find("done") != std::string::npos);
  CHECK(slots.client->counts().granted == 2);
  CHECK(slots.client->counts().refused == 1);
}

TEST_CASE("A prompt that does not fit into the engine's KV cache is refused and not sent") {
  for (const bool limited : {true, false}) {
    CAPTURE(limited);
    ScriptedRunner engine([](auto& socket, const auto& request) {
      writeTo(socket, streamHead(requestIdOf(request)) + chunk("data: 1\n\n") + kLastChunk);
    });
    TestRelay relay(testRoute(RouteKind::Streaming, 1), relay::Policy{.engine_load = limited});
    relay.addRunner("runner-1", engine.address(), 64);
    const auto slots = ownAllSlots(relay, "127.0.0.1:18305");
    // A request of unknown demand is in progress, because an idle engine accepts any prompt.
    const uint64_t fingerprint = relay.state().runners.runners()[0]->fingerprint;
    std::optional<daemon::SlotGuard> taken = slots.client->takeWithoutClaim(fingerprint);
    relay.onAdmitted([](daemon::RelayRequest& request) {
      request.engine = true;
      request.kv_capacity_tokens = 100'000;
      request.demand = {
          .prompt_tokens = 90'000, .output_tokens = 300, .source = relay::DemandSource::Told};
    });
    relay.start();
    const std::string answer = relay.sendRequest("q1");
    CHECK(answer.starts_with(limited ? "HTTP/1.1 503" : "HTTP/1.1 200"));
    CHECK(engine.requests() == (limited ? 0 : 1));
    std::promise<void> released;
    boost::asio::post(relay.context(), [&] {
      taken.reset();
      released.set_value();
    });
    released.get_future().wait();
    CHECK(relay.sendRequest("q2").starts_with("HTTP/1.1 200"));
    // Nothing is left of a prompt that has ended.
    std::promise<size_t> engines;
    boost::asio::post(relay.context(),
                      [&] { engines.set_value(slots.client->ownedEngines().size()); });
    CHECK(engines.get_future().get() == 0);
  }
}

TEST_CASE("Load totals decide about a prompt whose owner does not answer") {
  ScriptedRunner engine([](auto& socket, const auto& request) {
    writeTo(socket, streamHead(requestIdOf(request)) + chunk("data: 1\n\n") + kLastChunk);
  });
  TestRelay relay(testRoute(RouteKind::Streaming, 1));
  relay.addRunner("runner-1", engine.address(), 64);
  const auto slots = ownAllSlots(relay, "127.0.0.1:18306");
  // Nothing listens at the owner's address.
  slots.peers->setRelays({"127.0.0.1:18307"});
  relay.onAdmitted([](daemon::RelayRequest& request) {
    request.engine = true;
    request.kv_capacity_tokens = 100;
    request.demand = {.prompt_tokens = 90'000, .source = relay::DemandSource::Told};
  });
  relay.start();
  CHECK(relay.sendRequest("q1").starts_with("HTTP/1.1 200"));
  CHECK(slots.client->counts().unanswered == 1);
}

TEST_CASE("The owner of a plain runner learns which requests the runner completed and failed") {
  // A request with X-Hang ends at its time limit and must count as neither.
  ScriptedRunner runner([](auto& socket, const auto& request) {
    if (request.find("X-Fail") != std::string::npos) {
      writeTo(socket, signedAnswer("q1", "bad", "500 Internal Server Error"));
    } else if (request.find("X-Hang") == std::string::npos) {
      writeTo(socket, signedAnswer("q1", "done"));
    } else {
      char bytes[64];
      boost::system::error_code failure;
      while (!failure) {
        socket.read_some(boost::asio::buffer(bytes), failure);
      }
    }
  });
  relay::Route route = testRoute(RouteKind::RunOnce, 1);
  route.timeout_ms = 100;
  TestRelay relay(route);
  relay.addRunner("runner-1", runner.address(), 1);
  const SlotSetup slots = makeSlotSetup(relay, "127.0.0.1:18311", 1, [](uint64_t) {
    return relay::OwnedRunner{.listed = true, .plain = relay::PlainRunner{.service = "s"}};
  });
  slots.peers->setRelays({"127.0.0.1:18311"});
  relay.state().slot_client = slots.client;
  const uint64_t fingerprint = relay.state().runners.runners()[0]->fingerprint;
  relay.start();
  CHECK(relay.sendRequest("q1", "X-Hang: 1\r\n").starts_with("HTTP/1.1 504"));
  for (int i = 0; i < 3; ++i) {
    CHECK(relay.sendRequest("q1").ends_with("done"));
    const std::string failed = relay.sendRequest("q1", "X-Fail: 1\r\n");
    CAPTURE(failed);
    CHECK(failed.starts_with("HTTP/1.1 500"));
  }
  CHECK(relay.sendRequest("q1", "X-Hang: 1\r\n").starts_with("HTTP/1.1 504"));
  std::promise<uint32_t> failed_percent;
  boost::asio::post(relay.context(), [&] {
    failed_percent.set_value(
        slots.client->serviceTimes().failedPercent(fingerprint, relay.state().clock.monotonicMs()));
  });
  CHECK(failed_percent.get_future().get() == 50);
}

TEST_CASE("Without an answer of the owner a plain runner gets two requests for each slot") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address(), 1);
  const auto slots = ownAllSlots(relay, "127.0.0.1:18313");
  // Nothing answers at the owner's address.
  slots.peers->setRelays({"127.0.0.1:18314"});
  const auto known = relay.state().runners.runners()[0];
  known->in_progress = 2;
  relay.start();
  CHECK(relay.sendRequest("q1").find("all_full") != std::string::npos);
  boost::asio::post(relay.context(), [&] { known->in_progress = 1; });
  CHECK(relay.sendRequest("q1").ends_with("done"));
  CHECK(slots.client->counts().unanswered >= 2);
}

TEST_CASE("Callers that do not read their responses do not keep the slots of a plain runner") {
  const size_t body_bytes = size_t{12} * 1024 * 1024;
  ScriptedRunner runner([&](auto& socket, const auto& request) {
    const bool large = request.find("X-Large") != std::string::npos;
    writeTo(socket, signedAnswer("q1", large ? std::string(body_bytes, 'x') : "done"));
  });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address(), 1);
  const auto slots = ownAllSlots(relay, "127.0.0.1:18312");
  relay.start();
  boost::asio::io_context context;
  std::vector<boost::asio::ip::tcp::socket> callers;
  for (int i = 0; i < 2; ++i) {
    callers.emplace_back(context);
    callers.back().connect(*http::parseEndpoint(relay.address()));
    boost::asio::write(callers.back(),
                       boost::asio::buffer(TestRelay::requestText("q1", "X-Large: 1\r\n")));
    // The relay sends the first bytes once it has the complete response of the runner.
    char byte = 0;
    boost::asio::read(callers.back(), boost::asio::buffer(&byte, 1));
  }
  CHECK(relay.sendRequest("q1").ends_with("done"));
}

TEST_CASE("With queueing enabled a request waits briefly for a slot, and is then refused") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  relay::Route route = testRoute(RouteKind::RunOnce, 1);
  route.objective_ms = 1000;
  TestRelay relay(route, relay::Policy{.waiting_line = true});
  relay.addRunner("runner-1", runner.address(), 1);
  // A plain runner gets two requests for each slot.
  const auto busy = relay.state().runners.runners()[0];
  busy->in_progress = 2;
  relay.start();
  const auto begin = std::chrono::steady_clock::now();
  const std::string refused = relay.sendRequest("q1");
  const auto waited = std::chrono::steady_clock::now() - begin;
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(refused.find("Retry-After") != std::string::npos);
  CHECK(refused.find("all_full") != std::string::npos);
  CHECK(runner.requests() == 0);
  CHECK(waited >= std::chrono::milliseconds(150));
  // When a slot becomes free, the queued request is resumed.
  boost::asio::post(relay.context(), [&] { busy->in_progress = 2; });
  boost::asio::steady_timer free_slot(relay.context(), std::chrono::milliseconds(50));
  free_slot.async_wait([&](boost::system::error_code) {
    busy->in_progress = 1;
    relay.state().queue.wakeNext("s");
  });
  CHECK(relay.sendRequest("q1").ends_with("done"));
}

TEST_CASE("A request that waited in the queue claims slots from all owners again") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  relay::Route route = testRoute(RouteKind::RunOnce, 1);
  // The request waits for at most a fifth of this time.
  route.objective_ms = 10'000;
  TestRelay relay(route, relay::Policy{.waiting_line = true});
  relay.addRunner("runner-1", runner.address(), 1);
  const auto slots = ownAllSlots(relay, "127.0.0.1:18304");
  std::vector<daemon::SlotGuard> taken = takeAllSlots(relay);
  relay.start();
  std::thread releaser([&] {
    // Once the request waits, a slot becomes free and the first queued request is resumed.
    std::atomic<bool> waits{false};
    while (!waits) {
      std::promise<void> checked;
      boost::asio::post(relay.context(), [&] {
        waits = relay.state().queue.length("s") == 1;
        if (waits) {
          taken.pop_back();
          relay.state().queue.wakeNext("s");
        }
        checked.set_value();
      });
      checked.get_future().wait();
    }
  });
  CHECK(relay.sendRequest("q1").find("done") != std::string::npos);
  releaser.join();
}

TEST_CASE("A repeatable request is sent to another runner after a failure") {
  ScriptedRunner failing([](auto& socket, const auto&) {
    writeTo(socket, signedAnswer("q1", "bad", "500 Internal Server Error"));
  });
  ScriptedRunner working(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  TestRelay relay(testRoute(RouteKind::Repeatable, 2));
  relay.addRunner("runner-1", failing.address());
  relay.addRunner("runner-2", working.address());
  relay.start();
  for (int i = 0; i < 4; ++i) {
    CHECK(relay.sendRequest("q1").ends_with("done"));
  }
}

TEST_CASE("A runner's error response is relayed unchanged if no other attempt is permitted") {
  ScriptedRunner failing([](auto& socket, const auto&) {
    writeTo(socket, signedAnswer("q1", "bad", "500 Internal Server Error"));
  });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", failing.address());
  relay.start();
  const std::string answer = relay.sendRequest("q1");
  CHECK(answer.starts_with("HTTP/1.1 500"));
  CHECK(answer.find("W-Signature: s") != std::string::npos);
  CHECK(answer.ends_with("bad"));
}

TEST_CASE("A response to another request, or one truncated or unsigned, never reaches a caller") {
  std::string bytes;
  SUBCASE("of another request") { bytes = signedAnswer("other", "done"); }
  SUBCASE("cut short") {
    bytes = signedAnswer("q1", "done");
    bytes.resize(bytes.size() - 2);
  }
  SUBCASE("unsigned") { bytes = "HTTP/1.1 200 OK\r\nW-Request: q1\r\nContent-Length: 0\r\n\r\n"; }
  SUBCASE("not HTTP") { bytes = "nonsense\r\n\r\n"; }
  ScriptedRunner faulty([&](auto& socket, const auto&) {
    writeTo(socket, bytes);
    socket.close();
  });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", faulty.address());
  relay.start();
  CHECK(relay.sendRequest("q1").starts_with("HTTP/1.1 502"));
}

TEST_CASE("A caller gets complete events only, and no proper end of a stream that broke") {
  ScriptedRunner breaking([](auto& socket, const auto&) {
    writeTo(socket, streamHead("q1") + chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n"));
    socket.close();
  });
  TestRelay relay(testRoute(RouteKind::Streaming, 1));
  relay.addRunner("runner-1", breaking.address());
  relay.start();
  const std::string answer = relay.sendRequest("q1");
  CHECK(answer.find("data: a") != std::string::npos);
  CHECK(answer.find("data: b") == std::string::npos);
  CHECK_FALSE(answer.ends_with(kLastChunk));
}

namespace {

/// Head of a response whose end is the end of its connection.
std::string unframedHead(const std::string& id, const std::string& type) {
  return "HTTP/1.1 200 OK\r\nW-Request: " + id + "\r\nW-Signature: s\r\nContent-Type: " + type +
         "\r\n\r\n";
}

} // namespace

TEST_CASE("An answer that ends with its connection is relayed whole, and none that is reset") {
  for (const bool reset : {false, true}) {
    ScriptedRunner runner([reset](auto& socket, const auto& request) {
      writeTo(socket, unframedHead(requestIdOf(request), "text/plain") + "all of it");
      if (reset) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        socket.set_option(boost::asio::socket_base::linger(true, 0));
        // The destructor would close the connection in the ordinary way.
        socket.close();
      }
    });
    TestRelay relay(testRoute(relay::RouteKind::RunOnce, 1));
    relay.addRunner("runner-1", runner.address());
    relay.start();
    const std::string answer = relay.sendRequest("q1");
    CHECK(answer.starts_with(reset ? "HTTP/1.1 502" : "HTTP/1.1 200"));
    CHECK(answer.ends_with("all of it") == !reset);
  }
}

TEST_CASE(
    "A stream that ends with its connection is complete, but not if it ends inside an event") {
  for (const std::string& end : {std::string("id: 2\ndata: b\n\n"), std::string("id: 2\nda")}) {
    const bool whole = end.ends_with("\n\n");
    ScriptedRunner runner([&end](auto& socket, const auto& request) {
      writeTo(socket,
              unframedHead(requestIdOf(request), "text/event-stream") + "id: 1\ndata: a\n\n" + end);
    });
    TestRelay relay(testRoute(relay::RouteKind::Streaming, 1));
    relay.addRunner("runner-1", runner.address());
    relay.start();
    const std::string answer = relay.sendRequest("q1");
    CHECK(answer.find("data: a") != std::string::npos);
    CHECK(answer.ends_with(kLastChunk) == whole);
  }
}

TEST_CASE("A stream that ends with its connection inside an event is resumed at another runner") {
  const auto script = [](auto& socket, const std::string& request) {
    const bool resumed = request.find("Last-Event-Id: 1") != std::string::npos;
    writeTo(socket, unframedHead(requestIdOf(request), "text/event-stream") +
                        (resumed ? "id: 2\ndata: b\n\n" : "id: 1\ndata: a\n\nid: 2\nda"));
  };
  ScriptedRunner first(script);
  ScriptedRunner second(script);
  TestRelay relay(testRoute(relay::RouteKind::Streaming, 2, true));
  relay.addRunner("runner-1", first.address());
  relay.addRunner("runner-2", second.address());
  relay.start();
  const std::string answer = relay.sendRequest("q1");
  CHECK(answer.find("data: a") != std::string::npos);
  CHECK(answer.find("data: b") != std::string::npos);
  CHECK(answer.ends_with(kLastChunk));
}

TEST_CASE("A resumable stream continues at another runner after its last complete event") {
  const auto script = [](auto& socket, const auto& request) {
    if (request.find("Last-Event-Id: 1") != std::string::npos) {
      writeTo(socket, streamHead("q1") + chunk("id: 2\ndata: b\n\n") + kLastChunk);
      return;
    }
    writeTo(socket, streamHead("q1") + chunk("id: 1\ndata: a\n\nid: 2\nda"));
    socket.close();
  };
  ScriptedRunner first(script);
  ScriptedRunner second(script);
  TestRelay relay(testRoute(RouteKind::Streaming, 2, true));
  relay.addRunner("runner-1", first.address());
  relay.addRunner("runner-2", second.address());
  relay.start();
  const std::string answer = relay.sendRequest("q1");
  CHECK(answer.find("data: a\n\n") != std::string::npos);
  CHECK(answer.find("data: b\n\n") != std::string::npos);
  CHECK(answer.ends_with(kLastChunk));
  CHECK(first.requests() == 1);
  CHECK(second.requests() == 1);
}

TEST_CASE("Another runner is tried if a runner can't be reached, without a failed request") {
  ScriptedRunner working(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", "127.0.0.1:1");
  relay.addRunner("runner-2", working.address());
  relay.start();
  for (int i = 0; i < 4; ++i) {
    CHECK(relay.sendRequest("q1").ends_with("done"));
  }
}

TEST_CASE("Nothing is sent to a runner whose zone is evacuated after its slot was granted") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address());
  v1::EvacuationList evacuations;
  std::atomic<int> claims{0};
  // The evacuation order reaches this relay while the owner, which does not have the order yet,
  // grants the claim.
  const SlotSetup owner = makeSlotSetup(relay, "127.0.0.1:18307", 2, [&](uint64_t) {
    ++claims;
    relay.state().runners.setEvacuations(evacuations, 1);
    return relay::OwnedRunner{.listed = true};
  });
  const SlotSetup slots = ownAllSlots(relay, "127.0.0.1:18308");
  slots.peers->setRelays({"127.0.0.1:18307"});
  relay.start();
  CHECK(relay.sendRequest("q1").ends_with("done"));
  CHECK(claims == 1);
  evacuations.set_version(4);
  evacuations.add_zones()->set_zone("z");
  const std::string answer = relay.sendRequest("q1");
  CHECK(claims == 2);
  CHECK(slots.client->counts().granted == 2);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("not-run") != std::string::npos);
  CHECK(runner.requests() == 1);
}

TEST_CASE("Nothing is sent to a runner whose zone is evacuated during a prefix source lookup") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address());
  v1::EvacuationList evacuations;
  std::atomic<int> lookups{0};
  // The owner of the prefix. The evacuation order reaches the relay under test just before its
  // answer.
  const auto owner = std::make_shared<daemon::RelayPeers>(relay.context(), relay.state().clock);
  REQUIRE_FALSE(isError(owner->open("127.0.0.1:18309")));
  owner->onFrame(v1::Frame::kPartQuestion, [&](const v1::Frame& frame, const std::string& from) {
    ++lookups;
    relay.state().runners.setEvacuations(evacuations, 1);
    v1::Frame answer;
    answer.mutable_part_answer()->set_sequence(frame.part_question().sequence());
    answer.mutable_part_answer()->set_known(true);
    owner->send(from, answer);
  });
  const auto peers = std::make_shared<daemon::RelayPeers>(relay.context(), relay.state().clock);
  REQUIRE_FALSE(isError(peers->open("127.0.0.1:18310")));
  relay.state().prefix_client = std::make_shared<daemon::PrefixClient>(
      peers, relay.state().clock, [](uint64_t, uint64_t) { return true; });
  peers->setRelays({"127.0.0.1:18309"});
  relay.start();
  CHECK(relay.sendRequest("q1", "W-Parts: two\r\n").ends_with("done"));
  CHECK(lookups == 1);
  evacuations.set_version(4);
  evacuations.add_zones()->set_zone("z");
  const std::string answer = relay.sendRequest("q1", "W-Parts: two\r\n");
  CHECK(lookups == 2);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("not-run") != std::string::npos);
  CHECK(runner.requests() == 1);
}

TEST_CASE("The connection to the runner is closed when the caller disconnects") {
  std::atomic<bool> runner_saw_close{false};
  std::atomic<bool> runner_has_request{false};
  ScriptedRunner waiting([&](auto& socket, const auto&) {
    runner_has_request = true;
    char byte = 0;
    boost::system::error_code failure;
    // Reads the body, then waits for the connection to close.
    while (!failure) {
      socket.read_some(boost::asio::buffer(&byte, 1), failure);
    }
    runner_saw_close = true;
  });
  TestRelay relay(testRoute(RouteKind::Streaming, 1));
  relay.addRunner("runner-1", waiting.address());
  relay.start();
  {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(*http::parseEndpoint(relay.address()));
    boost::asio::write(socket, boost::asio::buffer(TestRelay::requestText("q1")));
    while (!runner_has_request) {
      std::this_thread::yield();
    }
  }
  const auto limit = std::chrono::steady_clock::now() + std::chrono::milliseconds(500);
  while (!runner_saw_close && std::chrono::steady_clock::now() < limit) {
    std::this_thread::yield();
  }
  CHECK(runner_saw_close);
}

TEST_CASE("The caller gets its final response at the time limit") {
  std::atomic<bool> over{false};
  ScriptedRunner silent([&](auto& socket, const auto&) {
    char bytes[64];
    boost::system::error_code failure;
    while (!failure) {
      socket.read_some(boost::asio::buffer(bytes), failure);
    }
    over = true;
  });
  relay::Route route = testRoute(RouteKind::RunOnce, 1);
  route.timeout_ms = 100;
  TestRelay relay(route);
  relay.addRunner("runner-1", silent.address());
  relay.start();
  const auto begin = std::chrono::steady_clock::now();
  CHECK(relay.sendRequest("q1").starts_with("HTTP/1.1 504"));
  CHECK(std::chrono::steady_clock::now() - begin < std::chrono::milliseconds(350));
}

TEST_CASE("Without a lease a request with a key is refused with 503 and not run") {
  ScriptedRunner runner([](auto&, const auto&) {});
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address());
  const int64_t length_ms = 4000;
  relay.state().lease = relay::ServingLease(length_ms);
  relay.start();
  const std::string answer = relay.sendRequest("q1");
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("not-run") != std::string::npos);
  CHECK(runner.requests() == 0);
}

TEST_CASE("With an old lease known routes and keys are served, and unknown ones get 503") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address());
  const int64_t length_ms = 60'000;
  const int64_t age_ms = 5'000;
  relay::ServingLease lease(length_ms);
  lease.confirmed(lease.renewalSent(SystemClock().monotonicMs() - age_ms));
  relay.state().lease = lease;
  relay.start();
  CHECK(relay.sendRequest("q1").starts_with("HTTP/1.1 200"));
  const std::string unknown_key = "W-Key: key-9\r\n";
  std::string request = TestRelay::requestText("q2");
  request.replace(request.find("W-Key: key-1\r\n"), unknown_key.size(), unknown_key);
  CHECK(relay.send(request).starts_with("HTTP/1.1 503"));
  std::string elsewhere = TestRelay::requestText("q3");
  elsewhere.replace(elsewhere.find("h.example"), 9, "x.example");
  CHECK(relay.send(elsewhere).starts_with("HTTP/1.1 503"));
  CHECK(runner.requests() == 1);
}

} // namespace workshatch::test

/// @file
/// What a caller and the runners see of one request: at most one run, whole answers, true refusals.
#include <future>
#include <memory>
#include <vector>

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

using relay::RouteKind;

namespace {

/// The datagrams of a relay, and what it asks of the owners of runners.
struct Places {
  std::shared_ptr<daemon::RelayPeers> peers;
  std::shared_ptr<daemon::SlotClient> client;
};

/// @param address for datagrams
Places placesAt(TestRelay& relay, const std::string& address, uint32_t incarnation,
                daemon::SlotClient::RunnerSource runner_source) {
  Places places;
  places.peers = std::make_shared<daemon::RelayPeers>(relay.context(), relay.state().clock);
  REQUIRE_FALSE(isError(places.peers->open(address)));
  places.client = std::make_shared<daemon::SlotClient>(places.peers, relay.state().clock,
                                                       incarnation, std::move(runner_source));
  return places;
}

/// Makes the relay the owner of all runners. @param address for its datagrams
Places ownPlaces(TestRelay& relay, const std::string& address) {
  Places places =
      placesAt(relay, address, 1, [](uint64_t) { return relay::OwnedRunner{.listed = true}; });
  places.peers->setRelays({address});
  relay.state().slot_client = places.client;
  return places;
}

/// Takes all three places that a plain service's only runner has for its one worker.
std::vector<daemon::SlotGuard> takeThree(TestRelay& relay) {
  const uint64_t fingerprint = relay.state().runners.runners()[0]->fingerprint;
  std::vector<daemon::SlotGuard> taken;
  for (int i = 0; i < 3; ++i) {
    taken.push_back(relay.state().slot_client->takeWithoutClaim(fingerprint));
  }
  return taken;
}

} // namespace

TEST_CASE("A request reaches the runner without the key, with tenant, target and time left") {
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

TEST_CASE("Headers that only the system may set never come from a caller") {
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

TEST_CASE("A request without a known key, route or id is refused before any runner") {
  ScriptedRunner runner([](auto&, const auto&) {});
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address());
  relay.start();
  CHECK(relay.sendRequest("", "").starts_with("HTTP/1.1 400"));
  CHECK(relay.sendRequest("q1\r\nW-Key: other").starts_with("HTTP/1.1 401"));
  CHECK(runner.requests() == 0);
}

TEST_CASE("A caller's patience that is no time leaves its request without an answer") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address());
  relay.start();
  for (const char* patience : {"inf", "nan", "1e300", "-5", "soon"}) {
    CAPTURE(patience);
    const std::string answer = relay.send(
        "POST /work HTTP/1.1\r\nHost: h.example\r\nW-Request: q1\r\nW-Key: key-1\r\nW-Deadline: " +
        std::string(patience) + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi");
    CHECK(answer.ends_with("done"));
  }
}

TEST_CASE("A request that may run once is not sent again after it may have run") {
  ScriptedRunner breaking([](auto& socket, const auto&) { socket.close(); });
  TestRelay relay(testRoute(RouteKind::RunOnce, 3));
  relay.addRunner("runner-1", breaking.address());
  relay.addRunner("runner-2", breaking.address());
  relay.start();
  CHECK(relay.sendRequest("q1").starts_with("HTTP/1.1 502"));
  CHECK(breaking.requests() == 1);
}

TEST_CASE("A runner that declined is followed by another; all declining is a true refusal") {
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

TEST_CASE("A request that finds all runners full is refused at once, unheard") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  relay::Route route = testRoute(RouteKind::RunOnce, 1);
  // A wait would last for a fifth of this.
  route.objective_ms = 60'000;
  TestRelay relay(route);
  relay.addRunner("runner-1", runner.address(), 1);
  const auto busy = relay.state().runners.runners()[0];
  busy->in_progress = 3;
  relay.start();
  const std::string refused = relay.sendRequest("q1");
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(refused.find("Retry-After") != std::string::npos);
  CHECK(refused.find("all_full") != std::string::npos);
  // One that had waited would have ended at its time limit.
  CHECK(relay.state().stats.outcomes["all_full"] == 1);
  CHECK(runner.requests() == 0);
  boost::asio::post(relay.context(), [&] { busy->in_progress = 2; });
  CHECK(relay.sendRequest("q1").ends_with("done"));
}

TEST_CASE("A place is taken at the owner before a request is sent, and given back at its end") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address(), 1);
  const auto places = ownPlaces(relay, "127.0.0.1:18303");
  std::vector<daemon::SlotGuard> taken = takeThree(relay);
  relay.start();
  const std::string refused = relay.sendRequest("q1");
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(refused.find("all_full") != std::string::npos);
  CHECK(runner.requests() == 0);
  // The places belong to the relay's event loop.
  std::promise<void> given_back;
  boost::asio::post(relay.context(), [&] {
    taken.clear();
    given_back.set_value();
  });
  given_back.get_future().wait();
  CHECK(relay.sendRequest("q1").find("done") != std::string::npos);
  CHECK(relay.sendRequest("q1").find("done") != std::string::npos);
  CHECK(places.client->counts().granted == 2);
  CHECK(places.client->counts().refused == 1);
}

TEST_CASE("With a waiting line a request waits a little for a place, and is then refused unheard") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  relay::Route route = testRoute(RouteKind::RunOnce, 1);
  route.objective_ms = 1000;
  TestRelay relay(route, relay::Policy{.waiting_line = true});
  relay.addRunner("runner-1", runner.address(), 1);
  // A plain service may have three requests for each place.
  const auto busy = relay.state().runners.runners()[0];
  busy->in_progress = 3;
  relay.start();
  const auto begin = std::chrono::steady_clock::now();
  const std::string refused = relay.sendRequest("q1");
  const auto waited = std::chrono::steady_clock::now() - begin;
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(refused.find("Retry-After") != std::string::npos);
  CHECK(refused.find("all_full") != std::string::npos);
  CHECK(runner.requests() == 0);
  CHECK(waited >= std::chrono::milliseconds(150));
  // Once a place is free, the one that waits is called.
  boost::asio::post(relay.context(), [&] { busy->in_progress = 3; });
  boost::asio::steady_timer free_place(relay.context(), std::chrono::milliseconds(50));
  free_place.async_wait([&](boost::system::error_code) {
    busy->in_progress = 2;
    relay.state().queue.wakeNext("s");
  });
  CHECK(relay.sendRequest("q1").ends_with("done"));
}

TEST_CASE("A request that waited asks the owners from the first again") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  relay::Route route = testRoute(RouteKind::RunOnce, 1);
  // It waits for a fifth of this at most.
  route.objective_ms = 10'000;
  TestRelay relay(route, relay::Policy{.waiting_line = true});
  relay.addRunner("runner-1", runner.address(), 1);
  const auto places = ownPlaces(relay, "127.0.0.1:18304");
  std::vector<daemon::SlotGuard> taken = takeThree(relay);
  relay.start();
  std::thread frees([&] {
    // Once the request waits, a place becomes free and the first in line is called.
    std::atomic<bool> waits{false};
    while (!waits) {
      std::promise<void> looked;
      boost::asio::post(relay.context(), [&] {
        waits = relay.state().queue.length("s") == 1;
        if (waits) {
          taken.pop_back();
          relay.state().queue.wakeNext("s");
        }
        looked.set_value();
      });
      looked.get_future().wait();
    }
  });
  CHECK(relay.sendRequest("q1").find("done") != std::string::npos);
  frees.join();
}

TEST_CASE("A repeatable request goes on to another runner after a failure") {
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

TEST_CASE("The failure of a runner goes back as it is when nothing else may be tried") {
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

TEST_CASE("An answer of another request, cut short or unsigned never reaches a caller") {
  std::string bytes;
  SUBCASE("of another request") { bytes = signedAnswer("other", "done"); }
  SUBCASE("cut short") {
    bytes = signedAnswer("q1", "done");
    bytes.resize(bytes.size() - 2);
  }
  SUBCASE("unsigned") { bytes = "HTTP/1.1 200 OK\r\nW-Request: q1\r\nContent-Length: 0\r\n\r\n"; }
  SUBCASE("not HTTP") { bytes = "nonsense\r\n\r\n"; }
  ScriptedRunner spoiling([&](auto& socket, const auto&) {
    writeTo(socket, bytes);
    socket.close();
  });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", spoiling.address());
  relay.start();
  CHECK(relay.sendRequest("q1").starts_with("HTTP/1.1 502"));
}

TEST_CASE("A stream reaches the caller by whole events and ends only as its runner ended it") {
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

TEST_CASE("A resumable stream goes on at another runner after its last whole event") {
  ScriptedRunner breaking([](auto& socket, const auto& request) {
    if (request.find("Last-Event-Id: 1") != std::string::npos) {
      writeTo(socket, streamHead("q1") + chunk("id: 2\ndata: b\n\n") + kLastChunk);
      return;
    }
    writeTo(socket, streamHead("q1") + chunk("id: 1\ndata: a\n\nid: 2\nda"));
    socket.close();
  });
  TestRelay relay(testRoute(RouteKind::Streaming, 2, true));
  relay.addRunner("runner-1", breaking.address());
  relay.addRunner("runner-2", breaking.address());
  relay.start();
  const std::string answer = relay.sendRequest("q1");
  CHECK(answer.find("data: a\n\n") != std::string::npos);
  CHECK(answer.find("data: b\n\n") != std::string::npos);
  CHECK(answer.ends_with(kLastChunk));
  CHECK(breaking.requests() == 2);
}

TEST_CASE("A runner that can't be reached costs nothing: another is tried") {
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

TEST_CASE("Nothing is sent to a runner whose zone is evacuated between the place and the send") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address());
  v1::EvacuationList evacuations;
  std::atomic<int> claims{0};
  // The order reaches this relay while the owner, which does not know it yet, grants its claim.
  const Places owner = placesAt(relay, "127.0.0.1:18307", 2, [&](uint64_t) {
    ++claims;
    relay.state().runners.setEvacuations(evacuations, 1);
    return relay::OwnedRunner{.listed = true};
  });
  const Places places = ownPlaces(relay, "127.0.0.1:18308");
  places.peers->setRelays({"127.0.0.1:18307"});
  relay.start();
  CHECK(relay.sendRequest("q1").ends_with("done"));
  CHECK(claims == 1);
  evacuations.set_version(4);
  evacuations.add_zones()->set_zone("z");
  const std::string answer = relay.sendRequest("q1");
  CHECK(claims == 2);
  CHECK(places.client->counts().granted == 2);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("not-run") != std::string::npos);
  CHECK(runner.requests() == 1);
}

TEST_CASE(
    "Nothing is sent to a runner whose zone is evacuated while a source of parts is asked for") {
  ScriptedRunner runner(
      [](auto& socket, const auto&) { writeTo(socket, signedAnswer("q1", "done")); });
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address());
  v1::EvacuationList evacuations;
  std::atomic<int> questions{0};
  // The relay that counts parts: the order reaches the asking relay just before its answer.
  const auto counting = std::make_shared<daemon::RelayPeers>(relay.context(), relay.state().clock);
  REQUIRE_FALSE(isError(counting->open("127.0.0.1:18309")));
  counting->onFrame(v1::Frame::kPartQuestion, [&](const v1::Frame& frame, const std::string& from) {
    ++questions;
    relay.state().runners.setEvacuations(evacuations, 1);
    v1::Frame answer;
    answer.mutable_part_answer()->set_sequence(frame.part_question().sequence());
    answer.mutable_part_answer()->set_known(true);
    counting->send(from, answer);
  });
  const auto peers = std::make_shared<daemon::RelayPeers>(relay.context(), relay.state().clock);
  REQUIRE_FALSE(isError(peers->open("127.0.0.1:18310")));
  relay.state().prefix_client = std::make_shared<daemon::PrefixClient>(
      peers, relay.state().clock, [](uint64_t) { return true; });
  peers->setRelays({"127.0.0.1:18309"});
  relay.start();
  CHECK(relay.sendRequest("q1", "W-Parts: two\r\n").ends_with("done"));
  CHECK(questions == 1);
  evacuations.set_version(4);
  evacuations.add_zones()->set_zone("z");
  const std::string answer = relay.sendRequest("q1", "W-Parts: two\r\n");
  CHECK(questions == 2);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("not-run") != std::string::npos);
  CHECK(runner.requests() == 1);
}

TEST_CASE("A caller that hangs up ends the run at its runner") {
  std::atomic<bool> runner_saw_end{false};
  std::atomic<bool> runner_has_request{false};
  ScriptedRunner waiting([&](auto& socket, const auto&) {
    runner_has_request = true;
    char byte = 0;
    boost::system::error_code failure;
    // The body, then the end of the connection.
    while (!failure) {
      socket.read_some(boost::asio::buffer(&byte, 1), failure);
    }
    runner_saw_end = true;
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
  while (!runner_saw_end && std::chrono::steady_clock::now() < limit) {
    std::this_thread::yield();
  }
  CHECK(runner_saw_end);
}

TEST_CASE("At the time limit the caller gets its final answer") {
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

TEST_CASE("Without a lease a request with a key is refused with 503, not run") {
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

TEST_CASE("A relay that was out of touch for a while serves what it knows and denies nothing") {
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

/// @file
/// What callers of a relay get if its runner, or the relay that it forwards to, runs a script.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/read_until.hpp>
#include <doctest/doctest.h>

#include "ports/seeded_random.h"
#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

/// @return the fields of a runner's response to the request with this id.
inline std::string signedFields(const std::string& id) {
  return "W-Request: " + id + "\r\nW-Signature: s\r\n";
}

/// Answers the request `q0`, leaves the connection open and waits for the next request on it.
inline void answerFirstRequest(ScriptedRunner::Socket& socket) {
  writeTo(socket, "HTTP/1.1 200 OK\r\n" + signedFields("q0") + "Content-Length: 5\r\n\r\nfirst");
  std::string next;
  boost::system::error_code ended;
  boost::asio::read_until(socket, boost::asio::dynamic_buffer(next), "\r\n\r\nhi", ended);
}

/// @param kept whether the script begins with `answerFirstRequest`, so that the request is the
/// second one on its connection
/// @return what a caller of this route gets if the only runner runs the script.
inline std::string answerOn(const relay::Route& route, const ScriptedRunner::Script& script,
                            bool kept = false) {
  ScriptedRunner runner(script);
  TestRelay relay(route);
  relay.addRunner("runner-1", runner.address());
  relay.start();
  if (kept) {
    CHECK(relay.sendRequest("q0").ends_with("first"));
  }
  std::string answer = relay.sendRequest("q1");
  CHECK(runner.requests() == 1);
  return answer;
}

/// A relay whose own runners refuse connections, so that it forwards requests.
struct ForwardingRelay {
  explicit ForwardingRelay(const std::string& peer)
      : ForwardingRelay({peer}, testRoute(relay::RouteKind::RunOnce, 1)) {}
  /// @param peers addresses of the other relays, which have one port
  ForwardingRelay(const std::vector<std::string>& peers, const relay::Route& route)
      : relay(route, relay::Policy{}, size_t{1024} * 1024,
              http::parseEndpoint(peers.front())->port()) {
    relay.addRunner("runner-1", "127.0.0.1:1");
    daemon::RelayState& state = relay.state();
    state.path_prober = std::make_shared<daemon::PathProber>(
        relay.context(), state.clock, random, daemon::RunnerDialer(state.runner_addresses),
        state.runners,
        daemon::PathProber::Observer{[](const std::string&, bool) {}, [](uint64_t) {}});
    v1::RelayList relays;
    relays.set_version(1);
    for (const std::string& peer : peers) {
      v1::RelayEntry* entry = relays.add_relays();
      entry->set_address(peer);
      entry->set_zone("z");
    }
    state.peer_relays.setList(relays);
    relay.start();
  }

  SeededRandom random{1};
  TestRelay relay;
};

/// Two relays, which have one port. Whichever gets the first request runs the first script, and the
/// other one the second.
class PeerPair {
public:
  PeerPair(ScriptedRunner::Script first, ScriptedRunner::Script second)
      : scripts_{std::move(first), std::move(second)},
        one_([this](auto& socket, const std::string& request) { run(socket, request); }),
        other_([this](auto& socket, const std::string& request) { run(socket, request); },
               {boost::asio::ip::make_address("127.0.0.2"),
                http::parseEndpoint(one_.address())->port()}) {}

  std::vector<std::string> addresses() const { return {one_.address(), other_.address()}; }
  size_t requests() const { return requests_; }

private:
  void run(ScriptedRunner::Socket& socket, const std::string& request) {
    scripts_.at(requests_++)(socket, request);
  }

  std::vector<ScriptedRunner::Script> scripts_;
  std::atomic<size_t> requests_{0};
  ScriptedRunner one_;
  ScriptedRunner other_;
};

/// @return the caller's answer if the relay forwards the request to one that runs the script.
inline std::string forwardedAnswerWith(const ScriptedRunner::Script& script) {
  ScriptedRunner peer(script);
  ForwardingRelay forwarding(peer.address());
  std::string answer = forwarding.relay.sendRequest("q1");
  CHECK(peer.requests() == 1);
  return answer;
}

} // namespace workshatch::test

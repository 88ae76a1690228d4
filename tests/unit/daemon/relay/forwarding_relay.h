/// @file
/// A relay that forwards requests to another one, and the callers' view of scripted responses.
#pragma once

#include <memory>
#include <string>

#include <doctest/doctest.h>

#include "ports/seeded_random.h"
#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

/// @return the fields of a runner's response to the request with this id.
inline std::string signedFields(const std::string& id) {
  return "W-Request: " + id + "\r\nW-Signature: s\r\n";
}

/// A relay whose own runners refuse connections, so that it forwards requests.
struct ForwardingRelay {
  explicit ForwardingRelay(const std::string& peer)
      : relay(testRoute(relay::RouteKind::RunOnce, 1), relay::Policy{}, size_t{1024} * 1024,
              http::parseEndpoint(peer)->port()) {
    relay.addRunner("runner-1", "127.0.0.1:1");
    daemon::RelayState& state = relay.state();
    state.path_prober = std::make_shared<daemon::PathProber>(
        relay.context(), state.clock, random, daemon::RunnerDialer(state.runner_addresses),
        state.runners,
        daemon::PathProber::Observer{[](const std::string&, bool) {}, [](uint64_t) {}});
    v1::RelayList relays;
    relays.set_version(1);
    v1::RelayEntry* entry = relays.add_relays();
    entry->set_address(peer);
    entry->set_zone("z");
    state.peer_relays.setList(relays);
    relay.start();
  }

  SeededRandom random{1};
  TestRelay relay;
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

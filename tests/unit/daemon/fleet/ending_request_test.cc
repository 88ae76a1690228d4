/// @file
/// A request that ends each runner which begins to run it, sent again and again at all relays.
///
/// On a busy day a caller sent such a request every half second, each time under another id and at
/// another relay. A relay knew which runners the present try had used and which runners had failed
/// lately, and nothing of the request itself, so that each try went to a runner that still worked:
///
///   attempt_ended runner 1 error "partial message", at two relays in the same millisecond
///   attempt_ended runner 1 outcome process_gone "Connection refused", from then on at all relays
///
/// 125 tries were cut like that at 28 runners, none of them twice. Where twelve runners serve at a
/// time, sixteen ended in a row; nine of the sends came long after the third end.
#include <string>

#include <doctest/doctest.h>

#include "unit/daemon/fleet/test_fleet.h"

namespace workshatch::test {

namespace {

/// Time from the third end until no relay in touch may send the request to a runner.
constexpr std::chrono::milliseconds kBound{3000};
constexpr const char* kDeadly = "ko";

/// Sends the request that ends runners until it has ended so many, at one relay after the other.
void endRunners(TestFleet& fleet, size_t runners) {
  size_t relay = 0;
  REQUIRE(within(kPatience, [&] {
    if (fleet.endedRunners() < runners) {
      fleet.ask(relay++ % fleet.relayCount(), kDeadly);
    }
    return fleet.endedRunners() >= runners;
  }));
}

/// @return whether a relay refuses the request without a runner, as far as it tells.
bool refuses(const TestFleet& fleet, size_t relay) {
  return fleet.metricsHave(relay, "workshatch_relay_quarantined_requests 1");
}

} // namespace

TEST_CASE("A request under which three runners ended reaches none later") {
  TestFleet fleet(3, 12, 18400);
  endRunners(fleet, 3);
  for (size_t relay = 0; relay < fleet.relayCount(); ++relay) {
    within(kBound, [&] { return refuses(fleet, relay); });
  }
  for (size_t round = 0; round < 3; ++round) {
    for (size_t relay = 0; relay < fleet.relayCount(); ++relay) {
      const std::string answer = fleet.ask(relay, kDeadly);
      CHECK(answer.starts_with("HTTP/1.1 503"));
    }
  }
  CHECK(fleet.endedRunners() == 3);
  // Another request of the same caller is served, and what another caller sends reaches a runner.
  for (size_t relay = 0; relay < fleet.relayCount(); ++relay) {
    CHECK(fleet.ask(relay, "hi").find("whole") != std::string::npos);
  }
  CHECK(fleet.ask(0, kDeadly, "key-2").starts_with("HTTP/1.1 502"));
  CHECK(fleet.endedRunners() == 4);
}

TEST_CASE("A request stays in quarantine when all processes end and start again") {
  TestFleet fleet(2, 8, 18420);
  endRunners(fleet, 3);
  for (size_t relay = 0; relay < fleet.relayCount(); ++relay) {
    REQUIRE(within(kBound, [&] { return refuses(fleet, relay); }));
  }
  fleet.restartGroup();
  for (size_t relay = 0; relay < fleet.relayCount(); ++relay) {
    fleet.restartRelay(relay);
    // The first request that is served at all shows that the relay has its first lease.
    REQUIRE(within(kPatience,
                   [&] { return fleet.ask(relay, "hi").find("whole") != std::string::npos; }));
    CHECK(fleet.ask(relay, kDeadly).starts_with("HTTP/1.1 503"));
  }
  CHECK(fleet.endedRunners() == 3);
}

TEST_CASE("Ends that were told to a leader which then ended are told to the next") {
  TestFleet fleet(2, 8, 18440);
  endRunners(fleet, 2);
  fleet.restartGroup();
  endRunners(fleet, 3);
  for (size_t relay = 0; relay < fleet.relayCount(); ++relay) {
    CHECK(within(kPatience, [&] { return refuses(fleet, relay); }));
    CHECK(fleet.ask(relay, kDeadly).starts_with("HTTP/1.1 503"));
  }
  CHECK(fleet.endedRunners() == 3);
}

} // namespace workshatch::test

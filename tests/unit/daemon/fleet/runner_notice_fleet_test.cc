/// @file
/// What runners say of further requests, before a whole system whose processes end and start again.
#include <chrono>
#include <string>

#include <doctest/doctest.h>

#include "unit/daemon/fleet/test_fleet.h"

namespace workshatch::test {

namespace {

constexpr size_t kRelays = 3;
/// Requests after which a runner that wants some has had one of each relay.
constexpr size_t kEnough = 40;

/// Sends requests to all relays in turn. @return how many were answered whole.
size_t askAll(TestFleet& fleet, size_t requests) {
  size_t whole = 0;
  for (size_t i = 0; i < requests; ++i) {
    whole += fleet.sendRequest(i % kRelays, "hi").find("whole") != std::string::npos ? 1 : 0;
  }
  return whole;
}

/// @return whether all relays serve within kTestTimeout.
bool allServe(TestFleet& fleet) {
  return within(kTestTimeout, [&] { return askAll(fleet, kRelays) == kRelays; });
}

} // namespace

TEST_CASE("A group that starts again lets relays forget what runners asked for") {
  TestFleet fleet(FleetOptions{.relays = kRelays, .runners = 4, .first_port = 18600});
  fleet.runner(0).declineAll("W-Backoff: 600000\r\n");
  fleet.runner(1).setExtraHeaders("W-Leaving: 1\r\n");
  const size_t before_backoff = fleet.runner(0).requests();
  const size_t before_leaving = fleet.runner(1).requests();
  // Each relay is told once; that request may be refused, since the budget of repeats begins empty.
  CHECK(askAll(fleet, kEnough) >= kEnough - kRelays);
  CHECK(fleet.runner(0).requests() == before_backoff + kRelays);
  CHECK(fleet.runner(1).requests() == before_leaving + kRelays);
  fleet.restartGroup();
  REQUIRE(allServe(fleet));
  CHECK(askAll(fleet, kEnough) == kEnough);
  CHECK(fleet.runner(0).requests() == before_backoff + kRelays);
  CHECK(fleet.runner(1).requests() == before_leaving + kRelays);
  // A relay's own process that starts again is told once more.
  fleet.restartRelay(0);
  REQUIRE(allServe(fleet));
  CHECK(askAll(fleet, kEnough) >= kEnough - 1);
  CHECK(fleet.runner(0).requests() <= before_backoff + kRelays + 1);
  CHECK(fleet.runner(1).requests() <= before_leaving + kRelays + 1);
}

TEST_CASE("A list that lacks runners for a moment lets relays forget what they asked for") {
  TestFleet fleet(FleetOptions{.relays = kRelays, .runners = 4, .first_port = 18620});
  fleet.runner(0).declineAll("W-Backoff: 600000\r\n");
  fleet.runner(1).setExtraHeaders("W-Leaving: 1\r\n");
  CHECK(askAll(fleet, kEnough) >= kEnough - kRelays);
  const size_t at_backoff = fleet.runner(0).requests();
  const size_t at_leaving = fleet.runner(1).requests();
  const auto setListed = [&](bool listed) {
    for (const size_t number : {0, 1}) {
      fleet.runner(number).setListed(listed);
    }
    // Known everywhere by then: a reading of the list, and its way to the relays.
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
    while (std::chrono::steady_clock::now() < until) {
      askAll(fleet, kRelays);
    }
  };
  setListed(false);
  setListed(true);
  CHECK(askAll(fleet, kEnough) == kEnough);
  CHECK(fleet.runner(0).requests() == at_backoff);
  CHECK(fleet.runner(1).requests() == at_leaving);
}

} // namespace workshatch::test

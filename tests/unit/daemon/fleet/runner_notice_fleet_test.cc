/// @file
/// Tests that relays keep the notices of runners when processes restart and when the platform's
/// list lacks the runners for a short time. The tests are named after the failures that they guard
/// against.
#include <chrono>
#include <optional>
#include <string>

#include <doctest/doctest.h>

#include "unit/daemon/fleet/test_fleet.h"

namespace workshatch::test {

namespace {

constexpr size_t kRelays = 3;
constexpr size_t kRequests = 40;

/// Sends requests to all relays in turn. @return how many of them succeeded.
size_t sendToAll(TestFleet& fleet, size_t requests) {
  size_t succeeded = 0;
  for (size_t i = 0; i < requests; ++i) {
    succeeded += fleet.sendRequest(i % kRelays, "hi").find("whole") != std::string::npos ? 1 : 0;
  }
  return succeeded;
}

/// Sends requests until the two runners that give notice have received these numbers of requests.
/// @return how many requests were refused; nullopt if that takes longer than the test's time limit.
std::optional<size_t> refusedUntilNoticed(TestFleet& fleet, size_t at_backoff, size_t at_leaving) {
  size_t refused = 0;
  const bool noticed = within(kTestTimeout, [&] {
    refused += kRelays - sendToAll(fleet, kRelays);
    return fleet.runner(0).requests() >= at_backoff && fleet.runner(1).requests() >= at_leaving;
  });
  return noticed ? std::optional(refused) : std::nullopt;
}

/// @return whether all relays serve requests within the test's time limit.
bool allServe(TestFleet& fleet) {
  return within(kTestTimeout, [&] { return sendToAll(fleet, kRelays) == kRelays; });
}

} // namespace

TEST_CASE("Relays forget the notices of runners when the group restarts") {
  TestFleet fleet(FleetOptions{.relays = kRelays, .runners = 4, .first_port = 18600});
  fleet.runner(0).declineAll("W-Backoff: 600000\r\n");
  fleet.runner(1).setExtraHeaders("W-Leaving: 1\r\n");
  const size_t before_backoff = fleet.runner(0).requests();
  const size_t before_leaving = fleet.runner(1).requests();
  // Each relay receives each notice once. The declined request may be refused, since the retry
  // budget is empty at the start.
  const auto refused =
      refusedUntilNoticed(fleet, before_backoff + kRelays, before_leaving + kRelays);
  REQUIRE(refused);
  CHECK(*refused <= kRelays);
  CHECK(sendToAll(fleet, kRequests) == kRequests);
  CHECK(fleet.runner(0).requests() == before_backoff + kRelays);
  CHECK(fleet.runner(1).requests() == before_leaving + kRelays);
  fleet.restartGroup();
  REQUIRE(allServe(fleet));
  CHECK(sendToAll(fleet, kRequests) == kRequests);
  CHECK(fleet.runner(0).requests() == before_backoff + kRelays);
  CHECK(fleet.runner(1).requests() == before_leaving + kRelays);
  // A restarted relay receives each notice once more.
  fleet.restartRelay(0);
  REQUIRE(allServe(fleet));
  CHECK(sendToAll(fleet, kRequests) >= kRequests - 1);
  CHECK(fleet.runner(0).requests() <= before_backoff + kRelays + 1);
  CHECK(fleet.runner(1).requests() <= before_leaving + kRelays + 1);
}

TEST_CASE("Relays forget the notices of runners that the list lacks for a short time") {
  TestFleet fleet(FleetOptions{.relays = kRelays, .runners = 4, .first_port = 18620});
  fleet.runner(0).declineAll("W-Backoff: 600000\r\n");
  fleet.runner(1).setExtraHeaders("W-Leaving: 1\r\n");
  const size_t at_backoff = fleet.runner(0).requests() + kRelays;
  const size_t at_leaving = fleet.runner(1).requests() + kRelays;
  const auto refused = refusedUntilNoticed(fleet, at_backoff, at_leaving);
  REQUIRE(refused);
  CHECK(*refused <= kRelays);
  const auto setListed = [&](bool listed) {
    for (const size_t number : {0, 1}) {
      fleet.runner(number).setListed(listed);
    }
    // Long enough for the group to read the list and for all relays to receive it.
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
    while (std::chrono::steady_clock::now() < until) {
      sendToAll(fleet, kRelays);
    }
  };
  setListed(false);
  setListed(true);
  CHECK(sendToAll(fleet, kRequests) == kRequests);
  CHECK(fleet.runner(0).requests() == at_backoff);
  CHECK(fleet.runner(1).requests() == at_leaving);
}

} // namespace workshatch::test

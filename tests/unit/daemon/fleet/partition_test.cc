/// @file
/// Tests of relays that lose their path to all runners while callers, the group and the other
/// relays still reach them. The tests are named after the failures that they guard against.
#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "unit/daemon/fleet/test_fleet.h"

namespace workshatch::test {

namespace {

constexpr size_t kRelays = 4;
constexpr size_t kRunners = 4;
/// Time after the beginning of a partition from which on callers must be served. A test goes on as
/// soon as they are.
constexpr std::chrono::milliseconds kSettleTime{3000};
/// First tries at each relay in a measurement, and how many of them may fail: 5 in 100.
constexpr size_t kTries = 40;
constexpr size_t kMayFail = 2;

bool isServed(TestFleet& fleet, size_t relay) {
  return fleet.sendRequest(relay, "hi").find("whole") != std::string::npos;
}

/// @return whether at most `kMayFail` of `kTries` first tries at the relay fail.
bool servesCallers(TestFleet& fleet, size_t relay) {
  size_t failed = 0;
  for (size_t i = 0; i < kTries && failed <= kMayFail; ++i) {
    failed += isServed(fleet, relay) ? 0 : 1;
  }
  return failed <= kMayFail;
}

/// @return whether the next requests to the relay are all served.
bool servesNext(TestFleet& fleet, size_t relay) {
  constexpr size_t kInARow = 5;
  for (size_t i = 0; i < kInARow; ++i) {
    if (!isServed(fleet, relay)) {
      return false;
    }
  }
  return true;
}

/// Sends requests to all relays in turn for a time, so that idle connections to runners exist.
void sendToAll(TestFleet& fleet, std::chrono::milliseconds time) {
  const auto until = std::chrono::steady_clock::now() + time;
  for (size_t i = 0; std::chrono::steady_clock::now() < until; ++i) {
    fleet.sendRequest(i % kRelays, "hi");
  }
}

TestFleet makeFleet(uint16_t first_port) {
  return TestFleet(FleetOptions{
      .relays = kRelays, .runners = 0, .keeping_runners = kRunners, .first_port = first_port});
}

void partition(TestFleet& fleet, size_t relays, Partition kind) {
  for (size_t relay = 0; relay < relays; ++relay) {
    fleet.partition(relay, kind);
  }
}

} // namespace

TEST_CASE("Callers of a relay that lost its path to the runners are hardly served") {
  constexpr std::chrono::milliseconds kWarmUp{300};
  TestFleet fleet = makeFleet(18640);
  for (const size_t cut : {size_t{1}, size_t{3}}) {
    for (const Partition kind :
         {Partition::Hang, Partition::Reset, Partition::Refuse, Partition::RefuseNew}) {
      CAPTURE(cut);
      CAPTURE(static_cast<int>(kind));
      sendToAll(fleet, kWarmUp);
      partition(fleet, cut, kind);
      const auto cut_at = std::chrono::steady_clock::now();
      for (size_t relay = 0; relay < cut; ++relay) {
        const auto spent = std::chrono::steady_clock::now() - cut_at;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::max<std::chrono::steady_clock::duration>(kSettleTime - spent, {}));
        within(left, [&] { return servesNext(fleet, relay); });
      }
      for (size_t relay = 0; relay < kRelays; ++relay) {
        CAPTURE(relay);
        CHECK(servesCallers(fleet, relay));
      }
      partition(fleet, cut, Partition::None);
      CHECK(within(kSettleTime, [&] { return isServed(fleet, 0); }));
    }
  }
}

TEST_CASE("Callers wait for one timeout after another while no relay has a path to the runners") {
  constexpr std::chrono::milliseconds kWarmUp{300};
  /// Less than a single connection attempt takes.
  constexpr std::chrono::milliseconds kAtOnce{250};
  TestFleet fleet = makeFleet(18660);
  sendToAll(fleet, kWarmUp);
  partition(fleet, kRelays, Partition::Hang);
  const auto refusedAtOnce = [&](size_t relay) {
    const auto begin = std::chrono::steady_clock::now();
    const std::string answer = fleet.sendRequest(relay, "hi");
    return answer.find("no_path") != std::string::npos &&
           answer.find("Retry-After") != std::string::npos &&
           std::chrono::steady_clock::now() - begin < kAtOnce;
  };
  for (size_t relay = 0; relay < kRelays; ++relay) {
    CAPTURE(relay);
    CHECK(within(kTestTimeout, [&] { return refusedAtOnce(relay); }));
  }
  CHECK(refusedAtOnce(0));
  partition(fleet, kRelays, Partition::None);
  for (size_t relay = 0; relay < kRelays; ++relay) {
    CAPTURE(relay);
    CHECK(within(kSettleTime, [&] { return servesNext(fleet, relay); }));
  }
}

} // namespace workshatch::test

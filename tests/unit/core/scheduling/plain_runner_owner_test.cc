/// @file
/// Plain runners at their slot owner: limits by service times and the number of requests, and the
/// failures of messages, relays, owners and runners that a measurement has to survive.
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/runner_table.h"
#include "core/scheduling/slot_owner.h"
#include "core/scheduling/slot_usage.h"

namespace workshatch::test {

namespace {

constexpr uint64_t kRunner = 7;
constexpr uint64_t kOtherRunner = 8;
constexpr uint32_t kSlots = 6;
constexpr uint32_t kWithinMs = 240;
const relay::PlainRunner kPlain{.service = "s", .slots = kSlots};

/// One relay that sends requests to a runner, as its slot owner sees it.
struct Relay {
  std::string address;
  relay::SlotUsage usage{1};

  relay::SlotOwner::Decision claim(relay::SlotOwner& owner, uint32_t limit, int64_t now_ms,
                                   uint64_t runner = kRunner) {
    v1::PlaceClaim claim;
    *claim.mutable_use() = usage.makeReport(runner, now_ms);
    claim.set_limit(limit);
    claim.set_start_within_ms(kWithinMs);
    const auto decision =
        owner.claim(address, claim, relay::OwnedRunner{.listed = true, .plain = kPlain}, now_ms);
    if (decision.granted) {
      usage.add(runner);
    }
    return decision;
  }

  v1::PlaceUse end(relay::RequestEnd end, int64_t now_ms, uint64_t runner = kRunner) {
    usage.remove(runner);
    usage.recordEnd(runner, end);
    return usage.makeReport(runner, now_ms);
  }
};

/// Sends one request after the other. @return the time when the last one ended.
int64_t sendRequests(Relay& relay, relay::SlotOwner& owner, int count, int64_t service_ms,
                     int64_t now_ms, relay::RequestEnd end = relay::RequestEnd::Completed) {
  for (int i = 0; i < count; ++i) {
    CHECK(relay.claim(owner, 2 * kSlots, now_ms).granted);
    now_ms += service_ms;
    owner.recordUsage(relay.address, relay.end(end, now_ms), now_ms);
  }
  return now_ms;
}

/// Takes slots until the owner refuses. @return the number of requests in progress then.
uint32_t fill(Relay& relay, relay::SlotOwner& owner, int64_t now_ms, uint64_t runner = kRunner) {
  while (relay.claim(owner, 2 * kSlots, now_ms, runner).granted) {
  }
  return owner.loadOf(runner);
}

} // namespace

// Guards against a long queue at a runner about which nothing is known.
TEST_CASE("Until a service time is known a runner gets two requests for each slot") {
  relay::SlotOwner owner;
  Relay relay{.address = "a"};
  CHECK(fill(relay, owner, 0) == 2 * kSlots);
}

// Guards against a fast runner that is kept idle by a fixed limit.
TEST_CASE("A known service time replaces the limit of requests, but not that of the free slots") {
  relay::SlotOwner owner;
  Relay relay{.address = "a"};
  const int64_t now_ms = sendRequests(relay, owner, 60, 60, 0);
  CHECK(fill(relay, owner, now_ms) == 19);
  Relay other{.address = "b"};
  CHECK_FALSE(other.claim(owner, kSlots, now_ms).granted);
}

// Guards against a service time or load that stays wrong after a lost datagram.
TEST_CASE("A lost report loses its own samples only, and the next one corrects the load") {
  relay::SlotOwner owner;
  Relay relay{.address = "a"};
  int64_t now_ms = sendRequests(relay, owner, 60, 60, 0);
  for (int i = 0; i < 3; ++i) {
    CHECK(relay.claim(owner, 2 * kSlots, now_ms).granted);
    now_ms += 60;
    relay.end(relay::RequestEnd::Completed, now_ms); // The datagram is lost.
  }
  now_ms = sendRequests(relay, owner, 10, 60, now_ms);
  CHECK(owner.loadOf(kRunner) == 0);
  const auto time_ms = owner.serviceTimes().measuredMs(kRunner, now_ms);
  REQUIRE(time_ms);
  // Three of 33 samples of the window are missing.
  CHECK(*time_ms == doctest::Approx(60).epsilon(0.15));
}

// Guards against a runner that seems twice as fast because a datagram is duplicated.
TEST_CASE("A report that arrives twice counts its requests once") {
  relay::SlotOwner owner;
  Relay relay{.address = "a"};
  int64_t now_ms = sendRequests(relay, owner, 60, 60, 0);
  for (int i = 0; i < 20; ++i) {
    relay.claim(owner, 2 * kSlots, now_ms);
    now_ms += 60;
    const auto report = relay.end(relay::RequestEnd::Completed, now_ms);
    owner.recordUsage("a", report, now_ms);
    owner.recordUsage("a", report, now_ms);
  }
  CHECK(*owner.serviceTimes().measuredMs(kRunner, now_ms) == doctest::Approx(60).epsilon(0.05));
}

// Guards against a runner that seems full of the requests of a crashed relay.
TEST_CASE("The requests of a relay that is gone do not keep others from a runner") {
  relay::SlotOwner owner;
  Relay relay{.address = "a"};
  const int64_t now_ms = sendRequests(relay, owner, 60, 60, 0);
  Relay gone{.address = "b"};
  CHECK(fill(gone, owner, now_ms) == 19);
  CHECK_FALSE(relay.claim(owner, 2 * kSlots, now_ms).granted);
  SUBCASE("it leaves the list of relays") {
    owner.dropRelay("b", now_ms);
    CHECK(relay.claim(owner, 2 * kSlots, now_ms).granted);
    // The slots of the relay that is gone do not count as in use any longer.
    const int64_t end_ms = sendRequests(relay, owner, 60, 60, now_ms);
    CHECK(*owner.serviceTimes().measuredMs(kRunner, end_ms) < 150);
  }
  SUBCASE("its reports are not repeated") {
    const int64_t later_ms = now_ms + 2 * relay::kSlotUsageReportPeriodMs + 500;
    relay.usage.makeReport(kRunner, later_ms);
    owner.recordUsage("a", relay.usage.makeReport(kRunner, later_ms), later_ms);
    owner.dropStale(later_ms);
    CHECK(relay.claim(owner, 2 * kSlots, later_ms).granted);
  }
}

// Guards against a slow runner that is filled after each change of its owner.
TEST_CASE("A new owner uses the service time that it received last until it has measured its own") {
  relay::SlotOwner owner;
  owner.recordReceivedServiceTime("s", 60, 0);
  Relay relay{.address = "a"};
  CHECK(fill(relay, owner, 0) == 19);
}

// Guards against a runner that is avoided for the speed of its earlier process.
TEST_CASE("A restarted runner starts without the service time of its predecessor") {
  relay::SlotOwner owner;
  Relay relay{.address = "a"};
  const int64_t now_ms = sendRequests(relay, owner, 20, 240, 0);
  CHECK(fill(relay, owner, now_ms) == kSlots);
  // The fingerprint is that of the runner's incarnation.
  const auto decision = relay.claim(owner, 2 * kSlots, now_ms, kOtherRunner);
  CHECK(decision.granted);
  CHECK(decision.plain.service_time_ms == 0);
}

// Guards against a runner that gets requests without any limit while lists of relays differ.
TEST_CASE("Two owners of one runner each grant up to the limit and no further") {
  relay::SlotOwner former;
  relay::SlotOwner present;
  Relay relay{.address = "a"};
  Relay other{.address = "b"};
  const int64_t now_ms = sendRequests(relay, former, 60, 60, 0);
  present.recordReceivedServiceTime("s", 60, now_ms);
  CHECK(fill(relay, former, now_ms) == 19);
  CHECK(fill(other, present, now_ms) == 19);
}

// Guards against figures that are computed from requests that the runner did not end.
TEST_CASE("A runner that answers nothing has no service time and no failure rate") {
  relay::SlotOwner owner;
  Relay relay{.address = "a"};
  const int64_t now_ms = sendRequests(relay, owner, 20, 400, 0, relay::RequestEnd::NoEvidence);
  CHECK_FALSE(owner.serviceTimes().measuredMs(kRunner, now_ms));
  CHECK(owner.serviceTimes().failedPercent(kRunner, now_ms) == 0);
  CHECK(relay.claim(owner, 2 * kSlots, now_ms).granted);
}

// Guards against a runner that is avoided for one failure, or long after its last one.
TEST_CASE("A failure rate needs six requests, and covers the last two seconds") {
  relay::SlotOwner owner;
  Relay relay{.address = "a"};
  int64_t now_ms = sendRequests(relay, owner, 5, 60, 0, relay::RequestEnd::Failed);
  CHECK(owner.serviceTimes().failedPercent(kRunner, now_ms) == 0);
  now_ms = sendRequests(relay, owner, 5, 60, now_ms);
  CHECK(owner.serviceTimes().failedPercent(kRunner, now_ms) == 50);
  CHECK(owner.serviceTimes().failedPercent(kRunner, now_ms + 2500) == 0);
}

// Guards against a service time that is too short because requests are reported twice.
TEST_CASE("Ended requests are reported once, with the next report about their runner") {
  relay::SlotUsage usage(1);
  usage.recordEnd(kRunner, relay::RequestEnd::Completed);
  usage.recordEnd(kRunner, relay::RequestEnd::Failed);
  usage.recordEnd(kRunner, relay::RequestEnd::NoEvidence);
  CHECK_FALSE(usage.makeReport(kOtherRunner, 0).has_outcomes());
  const v1::PlaceUse report = usage.makeReport(kRunner, 0);
  CHECK(report.outcomes().completed() == 1);
  CHECK(report.outcomes().failed() == 1);
  CHECK_FALSE(usage.makeReport(kRunner, 0).has_outcomes());
}

// Guards against model engines that are limited by service times, which do not fit requests that
// are processed in a batch.
TEST_CASE("Only runners of plain services are measured, and none with the policy switch off") {
  v1::RunnerList list;
  for (const char* service : {"s", "engines", "unknown"}) {
    v1::RunnerEntry* entry = list.add_runners();
    entry->set_id(service);
    entry->set_service(service);
    entry->set_slots(kSlots);
  }
  const auto measured = [&](bool service_times) {
    relay::RunnerTableOptions options;
    options.policy.service_times = service_times;
    relay::RunnerTable table(options);
    table.setServices(
        {relay::Service{.name = "s"}, relay::Service{.name = "engines", .model_engine = true}});
    table.setList(list, 0);
    std::vector<std::string> services;
    for (const auto& runner : table.runners()) {
      if (const auto plain = table.ownedRunner(runner->fingerprint, 0).plain) {
        CHECK(plain->slots == kSlots);
        services.push_back(plain->service);
      }
    }
    return services;
  };
  CHECK(measured(true) == std::vector<std::string>{"s"});
  CHECK(measured(false).empty());
}

} // namespace workshatch::test

/// @file
/// Places counted by owners: claims, lost and late messages, relays that go.
#include <doctest/doctest.h>

#include "core/relay/slot_owner.h"
#include "core/relay/slot_owner_map.h"
#include "core/relay/slot_usage.h"

namespace workshatch::test {

namespace {

constexpr uint64_t kRunner = 7;
/// By then an owner knows all who use a runner.
constexpr int64_t kLearnedMs = 10'000;

v1::PlaceUse use(uint32_t held, uint64_t sequence, uint32_t incarnation = 1) {
  v1::PlaceUse use;
  use.set_runner(kRunner);
  use.set_held(held);
  use.set_sequence(sequence);
  use.set_incarnation(incarnation);
  return use;
}

v1::PlaceClaim claim(uint32_t held, uint64_t sequence, uint32_t limit) {
  v1::PlaceClaim claim;
  *claim.mutable_use() = use(held, sequence);
  claim.set_limit(limit);
  return claim;
}

/// What the owner's tables tell of a warm runner.
relay::OwnedRunner loaded(uint32_t reported_load) {
  return relay::OwnedRunner{.reported_load = reported_load, .listed = true};
}

/// An owner that has known the runner for long, without anything in progress there.
relay::SlotOwner learnedOwner() {
  relay::SlotOwner owner;
  owner.recordUsage("idle", use(0, 1), 0);
  owner.recordUsage("idle", use(0, 2), kLearnedMs);
  return owner;
}

} // namespace

TEST_CASE("Three hundred relays that ask at once get no more places than the limit") {
  relay::SlotOwner owner = learnedOwner();
  uint32_t granted = 0;
  for (int i = 0; i < 300; ++i) {
    granted +=
        owner.claim("relay-" + std::to_string(i), claim(0, 1, 32), loaded(0), kLearnedMs).granted;
  }
  CHECK(granted == 32);
  CHECK(owner.loadOf(kRunner) == 32);
}

TEST_CASE("A place that was given back is given again") {
  relay::SlotOwner owner = learnedOwner();
  CHECK(owner.claim("a", claim(0, 1, 1), loaded(0), kLearnedMs).granted);
  CHECK_FALSE(owner.claim("b", claim(0, 1, 1), loaded(0), kLearnedMs).granted);
  owner.recordUsage("a", use(0, 2), kLearnedMs);
  CHECK(owner.claim("b", claim(0, 2, 1), loaded(0), kLearnedMs).granted);
}

TEST_CASE("A message that arrives after a later one changes nothing") {
  relay::SlotOwner owner = learnedOwner();
  owner.recordUsage("a", use(5, 9), kLearnedMs);
  owner.recordUsage("a", use(2, 8), kLearnedMs);
  CHECK(owner.loadOf(kRunner) == 5);
  // A process that was started again counts its messages anew.
  owner.recordUsage("a", use(1, 1, 2), kLearnedMs);
  CHECK(owner.loadOf(kRunner) == 1);
}

TEST_CASE("A lost message is made up for by the next, or expires") {
  relay::SlotOwner owner = learnedOwner();
  owner.recordUsage("a", use(5, 1), kLearnedMs);
  // That four of them ended was lost.
  CHECK(owner.claim("a", claim(1, 3, 9), loaded(0), kLearnedMs).load == 2);
  owner.forgetStale(kLearnedMs + 2 * relay::kSlotUsageReportPeriodMs);
  CHECK(owner.loadOf(kRunner) == 2);
  owner.forgetStale(kLearnedMs + 3 * relay::kSlotUsageReportPeriodMs);
  CHECK(owner.loadOf(kRunner) == 0);
}

TEST_CASE("What a relay that died had is free at once") {
  relay::SlotOwner owner = learnedOwner();
  owner.recordUsage("a", use(5, 1), kLearnedMs);
  owner.recordUsage("b", use(3, 1), kLearnedMs);
  owner.forgetRelay("a");
  CHECK(owner.loadOf(kRunner) == 3);
}

TEST_CASE("An owner that is new to a runner goes by the sums until all have told it") {
  relay::SlotOwner owner;
  CHECK_FALSE(owner.claim("a", claim(0, 1, 32), loaded(32), 0).granted);
  CHECK(owner.claim("a", claim(0, 2, 32), loaded(31), 100).granted);
  CHECK(owner.claim("a", claim(1, 3, 32), loaded(40), kLearnedMs).granted);
}

TEST_CASE("Relays with one list name one owner; a relay that goes moves its runners only") {
  relay::SlotOwnerMap owners;
  CHECK(owners.ownerOf(1) == nullptr);
  owners.setRelays({"a", "b", "c", "d"});
  std::map<uint64_t, std::string> before;
  for (uint64_t runner = 1; runner <= 200; ++runner) {
    before[runner] = *owners.ownerOf(runner);
  }
  CHECK(owners.setRelays({"d", "c", "a"}) == std::vector<std::string>{"b"});
  for (const auto& [runner, owner] : before) {
    CHECK((owner == "b" || *owners.ownerOf(runner) == owner));
    CHECK(*owners.ownerOf(runner) != "b");
  }
}

TEST_CASE("An owner that did not answer is left alone for a second") {
  relay::SlotOwnerMap owners;
  owners.setRelays({"a"});
  owners.recordUnanswered("a", 100);
  CHECK(owners.isSilent("a", 1099));
  CHECK_FALSE(owners.isSilent("a", 1100));
  owners.recordUnanswered("a", 1100);
  owners.recordAnswered("a");
  CHECK_FALSE(owners.isSilent("a", 1101));
}

TEST_CASE("Held places are told again in time, with rising numbers") {
  relay::SlotUsage held(3);
  held.add(kRunner);
  held.add(kRunner);
  const v1::PlaceUse first = held.makeReport(kRunner, 100);
  CHECK(first.held() == 2);
  CHECK(first.incarnation() == 3);
  CHECK(held.dueRunners(100 + relay::kSlotUsageReportPeriodMs - 1).empty());
  CHECK(held.dueRunners(100 + relay::kSlotUsageReportPeriodMs).size() == 1);
  held.remove(kRunner);
  held.remove(kRunner);
  const v1::PlaceUse last = held.makeReport(kRunner, 200);
  CHECK(last.held() == 0);
  CHECK(last.sequence() > first.sequence());
  CHECK(held.dueRunners(10'000).empty());
}

} // namespace workshatch::test

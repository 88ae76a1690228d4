/// @file
/// Slots counted by their owners: claims, lost and late reports, and relays that leave.
#include <doctest/doctest.h>

#include "core/scheduling/slot_owner.h"
#include "core/scheduling/slot_owner_map.h"
#include "core/scheduling/slot_usage.h"

namespace workshatch::test {

namespace {

constexpr uint64_t kRunner = 7;
/// Time after which an owner has received reports from all relays that use a runner.
constexpr int64_t kAllReportedMs = 10'000;

v1::PlaceUse report(uint32_t in_use, uint64_t sequence, uint32_t incarnation = 1) {
  v1::PlaceUse report;
  report.set_runner(kRunner);
  report.set_held(in_use);
  report.set_sequence(sequence);
  report.set_incarnation(incarnation);
  return report;
}

v1::PlaceClaim claim(uint32_t in_use, uint64_t sequence, uint32_t limit) {
  v1::PlaceClaim claim;
  *claim.mutable_use() = report(in_use, sequence);
  claim.set_limit(limit);
  return claim;
}

/// The owner's table entry of a warm runner.
relay::OwnedRunner runnerWithLoad(uint32_t reported_load) {
  return relay::OwnedRunner{.reported_load = reported_load, .listed = true};
}

/// An owner that has known the runner for a long time, without requests in progress there.
relay::SlotOwner ownerWithAllReports() {
  relay::SlotOwner owner;
  owner.recordUsage("idle", report(0, 1), 0);
  owner.recordUsage("idle", report(0, 2), kAllReportedMs);
  return owner;
}

} // namespace

TEST_CASE("Claims of 300 relays at the same time are granted up to the limit only") {
  relay::SlotOwner owner = ownerWithAllReports();
  uint32_t granted = 0;
  for (int i = 0; i < 300; ++i) {
    granted +=
        owner
            .claim("relay-" + std::to_string(i), claim(0, 1, 32), runnerWithLoad(0), kAllReportedMs)
            .granted;
  }
  CHECK(granted == 32);
  CHECK(owner.loadOf(kRunner) == 32);
}

TEST_CASE("A released slot is granted again") {
  relay::SlotOwner owner = ownerWithAllReports();
  CHECK(owner.claim("a", claim(0, 1, 1), runnerWithLoad(0), kAllReportedMs).granted);
  CHECK_FALSE(owner.claim("b", claim(0, 1, 1), runnerWithLoad(0), kAllReportedMs).granted);
  owner.recordUsage("a", report(0, 2), kAllReportedMs);
  CHECK(owner.claim("b", claim(0, 2, 1), runnerWithLoad(0), kAllReportedMs).granted);
}

TEST_CASE("A report that arrives after a newer one is ignored") {
  relay::SlotOwner owner = ownerWithAllReports();
  owner.recordUsage("a", report(5, 9), kAllReportedMs);
  owner.recordUsage("a", report(2, 8), kAllReportedMs);
  CHECK(owner.loadOf(kRunner) == 5);
  // A restarted process numbers its reports from the start.
  owner.recordUsage("a", report(1, 1, 2), kAllReportedMs);
  CHECK(owner.loadOf(kRunner) == 1);
}

TEST_CASE("The next report corrects the count after a lost one, or the count expires") {
  relay::SlotOwner owner = ownerWithAllReports();
  owner.recordUsage("a", report(5, 1), kAllReportedMs);
  // The report that four of the five requests ended was lost.
  CHECK(owner.claim("a", claim(1, 3, 9), runnerWithLoad(0), kAllReportedMs).load == 2);
  owner.dropStale(kAllReportedMs + 2 * relay::kSlotUsageReportPeriodMs);
  CHECK(owner.loadOf(kRunner) == 2);
  owner.dropStale(kAllReportedMs + 3 * relay::kSlotUsageReportPeriodMs);
  CHECK(owner.loadOf(kRunner) == 0);
}

TEST_CASE("The slots of a removed relay are free at once") {
  relay::SlotOwner owner = ownerWithAllReports();
  owner.recordUsage("a", report(5, 1), kAllReportedMs);
  owner.recordUsage("b", report(3, 1), kAllReportedMs);
  owner.dropRelay("a", kAllReportedMs);
  CHECK(owner.loadOf(kRunner) == 3);
}

TEST_CASE("A new owner uses the load totals until all relays have reported their usage") {
  relay::SlotOwner owner;
  CHECK_FALSE(owner.claim("a", claim(0, 1, 32), runnerWithLoad(32), 0).granted);
  CHECK(owner.claim("a", claim(0, 2, 32), runnerWithLoad(31), 100).granted);
  CHECK(owner.claim("a", claim(1, 3, 32), runnerWithLoad(40), kAllReportedMs).granted);
}

TEST_CASE("Removing a relay changes the owner of its own runners only") {
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

TEST_CASE("An owner that did not answer counts as silent for a second") {
  relay::SlotOwnerMap owners;
  owners.setRelays({"a"});
  owners.recordUnanswered("a", 100);
  CHECK(owners.isSilent("a", 1099));
  CHECK_FALSE(owners.isSilent("a", 1100));
  owners.recordUnanswered("a", 1100);
  owners.recordAnswered("a");
  CHECK_FALSE(owners.isSilent("a", 1101));
}

TEST_CASE("Reports of used slots are repeated in time, with increasing sequence numbers") {
  relay::SlotUsage usage(3);
  usage.add(kRunner);
  usage.add(kRunner);
  const v1::PlaceUse first = usage.makeReport(kRunner, 100);
  CHECK(first.held() == 2);
  CHECK(first.incarnation() == 3);
  CHECK(usage.dueRunners(100 + relay::kSlotUsageReportPeriodMs - 1).empty());
  CHECK(usage.dueRunners(100 + relay::kSlotUsageReportPeriodMs).size() == 1);
  usage.remove(kRunner);
  usage.remove(kRunner);
  const v1::PlaceUse last = usage.makeReport(kRunner, 200);
  CHECK(last.held() == 0);
  CHECK(last.sequence() > first.sequence());
  CHECK(usage.dueRunners(10'000).empty());
}

} // namespace workshatch::test

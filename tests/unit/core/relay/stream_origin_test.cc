/// @file
/// Tests of the records of where streams began, of the relays that hold them, and of the decision
/// at which version a stream may go on.
#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/record_holders.h"
#include "core/relay/runner_table.h"
#include "core/relay/served_versions.h"
#include "core/relay/stream_records.h"
#include "core/relay/stream_resumption.h"

namespace workshatch::test {

namespace {

constexpr size_t kHolders = 5;
constexpr size_t kStreams = 2000;

std::vector<relay::RecordHolder> relaysIn3Zones(size_t count) {
  std::vector<relay::RecordHolder> relays;
  for (size_t i = 0; i < count; ++i) {
    relays.push_back(relay::RecordHolder{.address = "10.0.0." + std::to_string(i),
                                         .zone = "zone-" + std::to_string(i % 3)});
  }
  return relays;
}

relay::StreamId streamOf(size_t number) {
  return relay::streamIdOf("tenant", "request-" + std::to_string(number));
}

/// @return the streams of which one of `relays`, by the resuming relay's list, holds the record
/// that was made by the list `all`.
size_t streamsFound(const std::vector<relay::RecordHolder>& all,
                    const std::vector<relay::RecordHolder>& remaining) {
  size_t found = 0;
  for (size_t i = 0; i < kStreams; ++i) {
    const auto holders = relay::chooseRecordHolders(streamOf(i), all, kHolders);
    const auto asked = relay::chooseRecordHolders(streamOf(i), remaining, kHolders);
    found += std::any_of(asked.begin(), asked.end(), [&](const std::string& address) {
      return std::find(holders.begin(), holders.end(), address) != holders.end();
    });
  }
  return found;
}

v1::RunnerEntry entryOf(const std::string& id, const std::string& version) {
  v1::RunnerEntry entry;
  entry.set_id(id);
  entry.set_service("s");
  entry.set_address("127.0.0.1:" + id);
  entry.set_zone("z");
  entry.set_version(version);
  return entry;
}

v1::RunnerList listOf(uint64_t list_version, const std::vector<v1::RunnerEntry>& entries) {
  v1::RunnerList list;
  list.set_version(list_version);
  for (const v1::RunnerEntry& entry : entries) {
    *list.add_runners() = entry;
  }
  return list;
}

v1::VersionOrders orderOf(v1::VersionStep step, const std::string& version) {
  v1::VersionOrders orders;
  v1::VersionOrder& order = *orders.add_orders();
  order.set_step(step);
  order.set_service("s");
  order.set_version(version);
  return orders;
}

} // namespace

TEST_CASE("Records are found after a third of the relays are lost, in fleets of any size") {
  for (const size_t relays : {size_t{12}, size_t{1000}}) {
    const auto all = relaysIn3Zones(relays);
    // A third of the relays of each zone: every third index, shifted by zone.
    std::vector<relay::RecordHolder> remaining;
    for (size_t i = 0; i < relays; ++i) {
      if ((i / 3) % 3 != 0) {
        remaining.push_back(all[i]);
      }
    }
    CHECK(streamsFound(all, remaining) * 100 >= kStreams * 98);
  }
}

TEST_CASE("Records are found after the loss of a zone") {
  const auto all = relaysIn3Zones(12);
  std::vector<relay::RecordHolder> remaining;
  std::copy_if(all.begin(), all.end(), std::back_inserter(remaining),
               [](const relay::RecordHolder& relay) { return relay.zone != "zone-0"; });
  CHECK(streamsFound(all, remaining) == kStreams);
}

TEST_CASE("Relays whose lists differ by some entries find the records of each other") {
  const auto all = relaysIn3Zones(1000);
  const std::vector<relay::RecordHolder> older(all.begin(), all.begin() + 900);
  CHECK(streamsFound(older, all) == kStreams);
  CHECK(streamsFound(all, older) == kStreams);
}

TEST_CASE("The holders of a record do not depend on the order of the list") {
  const auto relays = relaysIn3Zones(12);
  const std::vector<relay::RecordHolder> reversed(relays.rbegin(), relays.rend());
  for (size_t i = 0; i < 20; ++i) {
    CHECK(relay::chooseRecordHolders(streamOf(i), relays, kHolders) ==
          relay::chooseRecordHolders(streamOf(i), reversed, kHolders));
  }
  CHECK(relay::chooseRecordHolders(streamOf(1), relaysIn3Zones(2), kHolders).size() == 2);
  CHECK(relay::chooseRecordHolders(streamOf(1), {}, kHolders).empty());
}

TEST_CASE("A record expires after the time for which it was stored") {
  relay::StreamRecords records;
  REQUIRE(records.store(streamOf(1), {.service = "s", .version = "v1"}, 1000));
  REQUIRE(records.store(streamOf(2), {.service = "s", .version = "v2"}, 2000));
  REQUIRE(records.find(streamOf(1), 999) != nullptr);
  CHECK(records.find(streamOf(1), 999)->version == "v1");
  CHECK(records.find(streamOf(1), 1000) == nullptr);
  records.dropExpired(1000);
  CHECK(records.size() == 1);
  CHECK(records.find(streamOf(2), 1000)->version == "v2");
}

TEST_CASE("The streams of two tenants are told apart if they have the same request id") {
  CHECK_FALSE(relay::streamIdOf("tenant-1", "q") == relay::streamIdOf("tenant-2", "q"));
}

TEST_CASE("A stream goes on at the recorded version") {
  const auto decision =
      relay::decideByRecord(relay::StreamOrigin{.service = "s", .version = "v2"}, "s");
  CHECK(decision.basis == relay::ResumptionBasis::Record);
  CHECK(decision.version == "v2");
}

TEST_CASE("A stream that another service began, or that has no record, does not go on") {
  const relay::StreamOrigin elsewhere{.service = "t", .version = "v1"};
  CHECK_FALSE(relay::decideByRecord(elsewhere, "s").known());
  CHECK_FALSE(relay::decideByRecord(std::nullopt, "s").known());
}

// Guards against streams that go on at the only listed version although another one began them.
TEST_CASE("A stream without a record goes on only if the group knows of one version") {
  constexpr bool kLeaseHolds = true;
  v1::ServedVersionList served;
  CHECK_FALSE(relay::decideByServedVersions(served, kLeaseHolds, "s").known());

  REQUIRE(relay::applyVersionOrders(served, orderOf(v1::VERSION_STEP_ANNOUNCE, "v1")));
  const auto one_version = relay::decideByServedVersions(served, kLeaseHolds, "s");
  CHECK(one_version.basis == relay::ResumptionBasis::SoleVersion);
  CHECK(one_version.version == "v1");
  CHECK_FALSE(relay::decideByServedVersions(served, kLeaseHolds, "t").known());
  // The list may be out of date.
  CHECK_FALSE(relay::decideByServedVersions(served, false, "s").known());

  REQUIRE(relay::applyVersionOrders(served, orderOf(v1::VERSION_STEP_ANNOUNCE, "v2")));
  CHECK_FALSE(relay::decideByServedVersions(served, kLeaseHolds, "s").known());
  REQUIRE(relay::applyVersionOrders(served, orderOf(v1::VERSION_STEP_SERVE, "v2")));
  CHECK_FALSE(relay::decideByServedVersions(served, kLeaseHolds, "s").known());
  REQUIRE(relay::applyVersionOrders(served, orderOf(v1::VERSION_STEP_STOP, "v1")));
  CHECK_FALSE(relay::decideByServedVersions(served, kLeaseHolds, "s").known());
  REQUIRE(relay::applyVersionOrders(served, orderOf(v1::VERSION_STEP_RETIRE, "v1")));
  CHECK(relay::decideByServedVersions(served, kLeaseHolds, "s").version == "v2");
}

TEST_CASE("A runner back under its id at another version does not go on with a stream") {
  relay::RunnerTable table(relay::RunnerTableOptions{});
  table.setList(listOf(1, {entryOf("1", "v1"), entryOf("2", "v2")}), 1000);
  const relay::RunnerRequest resumption{.service = "s", .now_ms = 1000, .version = "v1"};
  auto choice = table.choose(resumption);
  REQUIRE(std::holds_alternative<relay::RunnerChoice>(choice));
  const auto former = std::get<relay::RunnerChoice>(choice).runner;
  CHECK(former->entry.id() == "1");

  // The process is known to have ended, but the list still names it.
  table.recordProcessEnded(former->fingerprint, 1500);
  relay::RunnerRequest later = resumption;
  later.now_ms = 1600;
  CHECK(std::holds_alternative<relay::NoRunner>(table.choose(later)));

  table.setList(listOf(2, {entryOf("1", "v2"), entryOf("2", "v2")}), 2000);
  CHECK(former->gone);
  CHECK(std::holds_alternative<relay::NoRunner>(table.choose(later)));
  CHECK(table.runnersOf("s").size() == 2);
}

// Guards against an attempt that outlives the retirement of its version.
TEST_CASE("A stream that has a record is not resumed at a version that was stopped") {
  v1::ServedVersionList served;
  REQUIRE(relay::applyVersionOrders(served, orderOf(v1::VERSION_STEP_ANNOUNCE, "v1")));
  REQUIRE(relay::applyVersionOrders(served, orderOf(v1::VERSION_STEP_ANNOUNCE, "v2")));
  REQUIRE(relay::applyVersionOrders(served, orderOf(v1::VERSION_STEP_SERVE, "v2")));
  served.set_version(1);
  relay::RunnerTable table(relay::RunnerTableOptions{});
  table.setList(listOf(1, {entryOf("1", "v1"), entryOf("2", "v2")}), 1000);
  relay::RunnerRequest resumption{
      .service = "s", .now_ms = 1000, .version = "v1", .begins_resumable_stream = true};
  // A leader of an earlier program sends no list of versions.
  CHECK(std::holds_alternative<relay::RunnerChoice>(table.choose(resumption)));
  table.setServedVersions(served);
  CHECK(std::holds_alternative<relay::RunnerChoice>(table.choose(resumption)));

  REQUIRE(relay::applyVersionOrders(served, orderOf(v1::VERSION_STEP_STOP, "v1")));
  table.setServedVersions(served);
  CHECK(std::holds_alternative<relay::NoRunner>(table.choose(resumption)));
  // An attempt that has begun goes on within its time limit.
  resumption.begins_resumable_stream = false;
  CHECK(std::holds_alternative<relay::RunnerChoice>(table.choose(resumption)));

  REQUIRE(relay::applyVersionOrders(served, orderOf(v1::VERSION_STEP_SERVE, "v1")));
  table.setServedVersions(served);
  resumption.begins_resumable_stream = true;
  CHECK(std::holds_alternative<relay::RunnerChoice>(table.choose(resumption)));
}

TEST_CASE("Cached prefixes are copied between runners of one version only") {
  relay::RunnerTable table(relay::RunnerTableOptions{});
  table.setList(listOf(1, {entryOf("1", "v1"), entryOf("2", "v2"), entryOf("3", "v1")}), 1000);
  const auto fingerprint = [&](size_t index) { return table.runners()[index]->fingerprint; };
  CHECK(table.isCopySource(fingerprint(0), fingerprint(2), 1000));
  CHECK_FALSE(table.isCopySource(fingerprint(0), fingerprint(1), 1000));

  // By this relay's own records: the prefix was sent to a runner of the other version.
  const relay::RunnerRequest prompt{.service = "s", .cache_key = 7, .now_ms = 1000, .engine = true};
  table.recordSent(prompt, relay::RunnerChoice{.runner = table.runners()[1]});
  const auto source = table.likelyPrefixSource(prompt, *table.runners()[0]);
  CHECK((!source || source->entry.version() == "v1"));
}

} // namespace workshatch::test

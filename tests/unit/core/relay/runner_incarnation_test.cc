/// @file
/// A runner that restarts under its id must not inherit the state of its former process.
///
/// Guards against ignoring the start time in the list: a runner's process ended and was back two
/// seconds later under the same id. The failures, load and cached prefixes of the former process
/// were attributed to the new one, so that it was avoided for seconds and named as a copy source of
/// prefixes that it had lost.
#include <string>

#include <doctest/doctest.h>

#include "core/relay/leader_runner_list.h"
#include "core/relay/runner_entry.h"
#include "core/relay/runner_list_history.h"
#include "core/relay/runner_table.h"
#include "core/scheduling/slot_owner.h"

namespace workshatch::test {

namespace {

/// A list of one runner. @param born_ms zero: the start is unknown
v1::RunnerList listOf(uint64_t version, uint64_t born_ms) {
  v1::RunnerList list;
  list.set_version(version);
  v1::RunnerEntry* entry = list.add_runners();
  entry->set_id("runner-1");
  entry->set_service("s");
  entry->set_address("127.0.0.1:1");
  entry->set_zone("z");
  entry->set_slots(4);
  entry->set_born_ms(born_ms);
  return list;
}

relay::RunnerTable tableOf(const v1::RunnerList& list) {
  relay::RunnerTable table(relay::RunnerTableOptions{});
  table.setServices(
      {relay::Service{.name = "s", .model_engine = true, .cold_s = 5, .cold_requests_per_s = 10}});
  table.setList(list, 1000);
  return table;
}

/// @return whether the table treats the second list's runner as another process.
bool isOtherIncarnation(uint64_t born_ms, uint64_t born_later_ms) {
  relay::RunnerTable table = tableOf(listOf(1, born_ms));
  const auto former = table.runners()[0];
  table.setList(listOf(2, born_later_ms), 2000);
  return table.runners()[0] != former;
}

} // namespace

TEST_CASE("Failures, load and warm state of a runner end with its process") {
  relay::RunnerTable table = tableOf(listOf(1, 5000));
  const auto former = table.runners()[0];
  CHECK(table.coldMs(*former, 1000) == 0);
  table.beginAttempt(*former, 1000);
  table.beginAttempt(*former, 1000);
  table.endAttempt(*former, relay::AttemptOutcome::Unreachable, 1500);
  table.setList(listOf(2, 9000), 2000);
  const auto present = table.runners()[0];
  CHECK(present->failures_in_row == 0);
  CHECK(present->avoid_until_ms == 0);
  CHECK(present->load() == 0);
  CHECK(table.coldMs(*present, 2000) > 0);
  // Attempts in progress at the former process end there.
  table.endAttempt(*former, relay::AttemptOutcome::Failed, 2100);
  CHECK(present->failures_in_row == 0);
  CHECK(table.ownLoads(2100).in_progress_size() == 0);
}

TEST_CASE("A restarted runner keeps no prefixes and no slots in use") {
  relay::RunnerTable table = tableOf(listOf(1, 5000));
  const uint64_t former = table.runners()[0]->fingerprint;
  CHECK(table.isCopySource(former, 0, 1000));
  table.setList(listOf(2, 9000), 2000);
  const uint64_t present = table.runners()[0]->fingerprint;
  CHECK_FALSE(table.isCopySource(former, 0, 2000));
  CHECK(table.isCopySource(present, 0, 2000));
  CHECK_FALSE(table.ownedRunner(former, 2000).listed);
  // Its owner starts with an empty count, also when the use of the former process is reported late.
  relay::SlotOwner owner;
  v1::PlaceUse use;
  use.set_runner(former);
  use.set_held(4);
  use.set_incarnation(1);
  use.set_sequence(1);
  owner.recordUsage("relay-1", use, 2100);
  CHECK(owner.loadOf(present) == 0);
}

TEST_CASE("Any other start time is another process, also an earlier or an unknown one") {
  CHECK(isOtherIncarnation(5000, 9000));
  CHECK(isOtherIncarnation(5000, 4000));
  CHECK(isOtherIncarnation(0, 9000));
  CHECK(isOtherIncarnation(9000, 0));
  CHECK_FALSE(isOtherIncarnation(5000, 5000));
  CHECK_FALSE(isOtherIncarnation(0, 0));
}

TEST_CASE(
    "The leader reports a restarted runner to relays, and drops the loads of its former process") {
  CHECK_FALSE(relay::fingerprintOf(listOf(1, 5000)) == relay::fingerprintOf(listOf(1, 9000)));
  relay::RunnerListHistory history;
  history.add(listOf(1, 5000));
  history.add(listOf(2, 9000));
  const v1::RunnerListUpdate update = history.updateFrom(1);
  REQUIRE(update.changed_size() == 1);
  CHECK(update.changed(0).born_ms() == 9000);
  const auto* positions = history.positionsFrom(1);
  REQUIRE(positions != nullptr);
  CHECK_FALSE((*positions)[0].has_value());
  const auto applied = relay::applyUpdate(listOf(1, 5000), update);
  REQUIRE_FALSE(isError(applied));
  REQUIRE(std::get<v1::RunnerList>(applied).runners_size() == 1);
  CHECK(std::get<v1::RunnerList>(applied).runners(0).born_ms() == 9000);
  relay::LeaderRunnerList leader_list;
  relay::LeaderVersions versions;
  versions.begin(1);
  leader_list.begin(versions, 0);
  leader_list.updateAsLeader(listOf(0, 5000), versions);
  CHECK(leader_list.updateAsLeader(listOf(0, 9000), versions) == relay::ListChange::Runners);
}

TEST_CASE("Of several entries with one id the one of the latest process is used, else the first") {
  v1::RunnerList list = listOf(1, 5000);
  *list.add_runners() = listOf(1, 9000).runners(0);
  *list.add_runners() = listOf(1, 7000).runners(0);
  v1::RunnerEntry* other = list.add_runners();
  *other = list.runners(0);
  other->set_id("runner-2");
  v1::RunnerEntry* again = list.add_runners();
  *again = *other;
  again->set_address("127.0.0.1:2");
  CHECK(relay::dropDuplicates(list) == 3);
  REQUIRE(list.runners_size() == 2);
  CHECK(list.runners(0).born_ms() == 9000);
  CHECK(list.runners(1).address() == "127.0.0.1:1");
}

} // namespace workshatch::test

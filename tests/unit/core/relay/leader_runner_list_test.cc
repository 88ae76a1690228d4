/// @file
/// The runner list that a leader sends: an old list is never sent under a new version.
#include <utility>

#include <doctest/doctest.h>

#include "core/relay/leader_runner_list.h"
#include "core/relay/runner_entry.h"
#include "core/relay/runner_list_history.h"

namespace workshatch::test {

namespace {

v1::RunnerList listOf(int count) {
  v1::RunnerList list;
  for (int i = 0; i < count; ++i) {
    list.add_runners()->set_id("r" + std::to_string(count - i));
  }
  return list;
}

} // namespace

TEST_CASE("A list that was read long before the leadership is not sent") {
  relay::LeaderVersions versions;
  relay::LeaderRunnerList leader_list;
  // Read at the start, before the platform listed any runner.
  leader_list.updateWithoutLeader(listOf(0), 1000);
  versions.begin(3);
  leader_list.begin(versions, 9000);
  CHECK(leader_list.list().version() == 0);
  CHECK(leader_list.updateAsLeader(listOf(2), versions) == relay::ListChange::Runners);
  CHECK(leader_list.list().runners_size() == 2);
}

TEST_CASE("A list that was read just before the leadership is sent at once") {
  relay::LeaderVersions versions;
  relay::LeaderRunnerList leader_list;
  leader_list.updateWithoutLeader(listOf(3), 1000);
  versions.begin(3);
  leader_list.begin(versions, 1500);
  CHECK(leader_list.list().version() != 0);
  CHECK(leader_list.list().runners_size() == 3);
  CHECK(leader_list.updateAsLeader(listOf(3), versions) == relay::ListChange::None);
  const uint64_t before = leader_list.list().version();
  CHECK(leader_list.updateAsLeader(listOf(2), versions) == relay::ListChange::Runners);
  CHECK(leader_list.list().version() > before);
  versions.begin(4);
  leader_list.begin(versions, 2000);
  CHECK(leader_list.list().version() == 0);
}

TEST_CASE(
    "A runner that turns cold changes the list's version, one that becomes less cold does not") {
  relay::LeaderVersions versions;
  versions.begin(3);
  relay::LeaderRunnerList leader_list;
  leader_list.begin(versions, 9000);
  const auto read = [&](uint32_t cold_ms) {
    v1::RunnerList list = listOf(2);
    list.mutable_runners(0)->set_cold_ms(cold_ms);
    return leader_list.updateAsLeader(std::move(list), versions);
  };
  CHECK(read(0) == relay::ListChange::Runners);
  CHECK(read(3000) == relay::ListChange::Runners);
  const uint64_t version = leader_list.list().version();
  CHECK(read(2000) == relay::ListChange::ColdTimesReduced);
  CHECK(read(0) == relay::ListChange::ColdTimesReduced);
  CHECK(read(0) == relay::ListChange::None);
  CHECK(leader_list.list().version() == version);
  CHECK(leader_list.list().runners(0).cold_ms() == 0);
  CHECK(read(2500) == relay::ListChange::Runners);
}

TEST_CASE(
    "An update contains the runners that turned cold, and a whole list the current cold times") {
  v1::RunnerList list = listOf(2);
  std::swap(*list.mutable_runners(0), *list.mutable_runners(1));
  list.set_version(1);
  relay::RunnerListHistory history;
  history.add(list);
  list.set_version(2);
  list.mutable_runners(0)->set_cold_ms(2800);
  history.add(list);
  const v1::RunnerListUpdate& update = history.updateFrom(1);
  REQUIRE(update.changed_size() == 1);
  CHECK(update.changed(0).cold_ms() == 2800);
  list.mutable_runners(0)->clear_cold_ms();
  history.refreshNewest(list);
  CHECK(history.updateFrom(0).changed(0).cold_ms() == 0);
  CHECK(history.updateFrom(1).changed_size() == 0);
}

TEST_CASE("A relay that has the same list from another leader receives its new version only") {
  v1::RunnerList list = listOf(2);
  std::swap(*list.mutable_runners(0), *list.mutable_runners(1));
  list.set_version(9);
  relay::RunnerListHistory history;
  history.add(list);
  v1::RunnerList relay_list = list;
  relay_list.set_version(4);
  relay_list.mutable_runners(0)->set_cold_ms(1000);
  const v1::RunnerListUpdate renumbered = history.updateFrom(4, relay::fingerprintOf(relay_list));
  CHECK(renumbered.version() == 9);
  CHECK(renumbered.base_version() == 4);
  CHECK(renumbered.changed_size() == 0);
  const auto applied = relay::applyUpdate(relay_list, renumbered);
  REQUIRE_FALSE(isError(applied));
  CHECK(std::get<v1::RunnerList>(applied).version() == 9);
  CHECK(std::get<v1::RunnerList>(applied).runners_size() == 2);
  // A relay with another list, or with none, needs the whole list.
  relay_list.mutable_runners(0)->set_leaving(true);
  CHECK(history.updateFrom(4, relay::fingerprintOf(relay_list)).changed_size() == 2);
  CHECK(history.updateFrom(0, relay::fingerprintOf(list)).changed_size() == 2);
  // After the next list, the relay's list is an older one of this leader.
  list.mutable_runners(1)->set_leaving(true);
  list.set_version(10);
  history.add(list);
  CHECK(history.updateFrom(9, 0).changed_size() == 1);
}

} // namespace workshatch::test

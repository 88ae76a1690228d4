/// @file
/// What a leader tells of the runners: never an old list under a new version.
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

TEST_CASE("A list that was read long before the leadership is not told") {
  relay::LeaderVersions versions;
  relay::LeaderRunnerList led;
  // Read at the start, when the platform listed no runner yet.
  led.updateWithoutLeader(listOf(0), 1000);
  versions.begin(3);
  led.begin(versions, 9000);
  CHECK(led.list().version() == 0);
  CHECK(led.updateAsLeader(listOf(2), versions) == relay::ListChange::Runners);
  CHECK(led.list().runners_size() == 2);
}

TEST_CASE("A list that was read just before the leadership is told at once") {
  relay::LeaderVersions versions;
  relay::LeaderRunnerList led;
  led.updateWithoutLeader(listOf(3), 1000);
  versions.begin(3);
  led.begin(versions, 1500);
  CHECK(led.list().version() != 0);
  CHECK(led.list().runners_size() == 3);
  CHECK(led.updateAsLeader(listOf(3), versions) == relay::ListChange::None);
  const uint64_t before = led.list().version();
  CHECK(led.updateAsLeader(listOf(2), versions) == relay::ListChange::Runners);
  CHECK(led.list().version() > before);
  versions.begin(4);
  led.begin(versions, 2000);
  CHECK(led.list().version() == 0);
}

TEST_CASE("That runners become less cold is no news; that one turns cold is") {
  relay::LeaderVersions versions;
  versions.begin(3);
  relay::LeaderRunnerList led;
  led.begin(versions, 9000);
  const auto read = [&](uint32_t cold_ms) {
    v1::RunnerList list = listOf(2);
    list.mutable_runners(0)->set_cold_ms(cold_ms);
    return led.updateAsLeader(std::move(list), versions);
  };
  CHECK(read(0) == relay::ListChange::Runners);
  CHECK(read(3000) == relay::ListChange::Runners);
  const uint64_t version = led.list().version();
  CHECK(read(2000) == relay::ListChange::ColdTimesReduced);
  CHECK(read(0) == relay::ListChange::ColdTimesReduced);
  CHECK(read(0) == relay::ListChange::None);
  CHECK(led.list().version() == version);
  CHECK(led.list().runners(0).cold_ms() == 0);
  CHECK(read(2500) == relay::ListChange::Runners);
}

TEST_CASE("Updates name the runners that turned cold, and a whole list how cold they are now") {
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

TEST_CASE("A list that another leader told is not sent again where it says the same") {
  v1::RunnerList list = listOf(2);
  std::swap(*list.mutable_runners(0), *list.mutable_runners(1));
  list.set_version(9);
  relay::RunnerListHistory history;
  history.add(list);
  v1::RunnerList held = list;
  held.set_version(4);
  held.mutable_runners(0)->set_cold_ms(1000);
  const v1::RunnerListUpdate renamed = history.updateFrom(4, relay::fingerprintOf(held));
  CHECK(renamed.version() == 9);
  CHECK(renamed.base_version() == 4);
  CHECK(renamed.changed_size() == 0);
  const auto applied = relay::applyUpdate(held, renamed);
  REQUIRE_FALSE(isError(applied));
  CHECK(std::get<v1::RunnerList>(applied).version() == 9);
  CHECK(std::get<v1::RunnerList>(applied).runners_size() == 2);
  // Another list, or none, needs the whole one.
  held.mutable_runners(0)->set_leaving(true);
  CHECK(history.updateFrom(4, relay::fingerprintOf(held)).changed_size() == 2);
  CHECK(history.updateFrom(0, relay::fingerprintOf(list)).changed_size() == 2);
  // After the next list the same relay has an older one.
  list.mutable_runners(1)->set_leaving(true);
  list.set_version(10);
  history.add(list);
  CHECK(history.updateFrom(9, 0).changed_size() == 1);
}

} // namespace workshatch::test

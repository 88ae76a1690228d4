/// @file
/// Messages between the leader and relays about the list of runners and their loads.
#include <string>

#include <doctest/doctest.h>

#include "core/relay/load_totals.h"
#include "core/relay/runner_list_history.h"
#include "core/relay/runner_loads.h"
#include "ports/seeded_random.h"

namespace workshatch::test {

namespace {

v1::RunnerList listOf(uint64_t version, std::initializer_list<const char*> ids) {
  v1::RunnerList list;
  list.set_version(version);
  for (const char* id : ids) {
    list.add_runners()->set_id(id);
  }
  return list;
}

v1::RunnerList applied(const v1::RunnerList& base, const v1::RunnerListUpdate& update) {
  const auto list = relay::applyUpdate(base, update);
  REQUIRE_FALSE(isError(list));
  return std::get<v1::RunnerList>(list);
}

} // namespace

TEST_CASE("A relay with a list that the leader still keeps receives only the changes") {
  relay::RunnerListHistory history;
  const v1::RunnerList first = listOf(1, {"a", "b", "c", "d"});
  v1::RunnerList second = listOf(2, {"a", "c", "d", "e"});
  second.mutable_runners(2)->set_leaving(true);
  history.add(first);
  history.add(second);
  const v1::RunnerListUpdate& update = history.updateFrom(1);
  CHECK(update.removed_size() == 1);
  CHECK(update.changed_size() == 2);
  CHECK(applied(first, update).SerializeAsString() == second.SerializeAsString());
  CHECK(history.updateFrom(2).changed_size() == 0);
}

TEST_CASE("A relay with an unknown list receives the whole list") {
  relay::RunnerListHistory history;
  const v1::RunnerList list = listOf(7, {"a", "b"});
  history.add(list);
  CHECK(applied(listOf(3, {"x"}), history.updateFrom(3)).SerializeAsString() ==
        list.SerializeAsString());
  history.clear();
  history.add(listOf(9, {"a"}));
  CHECK(history.updateFrom(7).base_version() == 0);
}

TEST_CASE("A long list is sent compressed") {
  relay::RunnerListHistory history;
  v1::RunnerList list;
  list.set_version(4);
  for (int i = 100; i < 400; ++i) {
    v1::RunnerEntry* entry = list.add_runners();
    entry->set_id("runner-" + std::to_string(i));
    entry->set_service("model-pool");
    entry->set_address("10.128.1.2:" + std::to_string(8000 + i));
    entry->set_zone("zone-a");
  }
  history.add(list);
  const v1::RunnerListUpdate& update = history.updateFrom(0);
  CHECK(update.ByteSizeLong() < list.ByteSizeLong() / 3);
  CHECK(applied({}, update).SerializeAsString() == list.SerializeAsString());
  v1::RunnerListUpdate damaged = update;
  damaged.mutable_more_changed()->mutable_data()->pop_back();
  CHECK(isError(relay::applyUpdate({}, damaged)));
}

TEST_CASE("An update with another base version is an error") {
  relay::RunnerListHistory history;
  history.add(listOf(1, {"a"}));
  history.add(listOf(2, {"a", "b"}));
  CHECK(isError(relay::applyUpdate(listOf(5, {"a"}), history.updateFrom(1))));
}

TEST_CASE("Counts are decoded as they were encoded, whether sparse or not") {
  SeededRandom random(3);
  for (int i = 0; i < 500; ++i) {
    std::vector<uint32_t> counts(random.below(40));
    const uint64_t density = random.below(4);
    for (uint32_t& count : counts) {
      count = random.below(4) < density ? static_cast<uint32_t>(random.below(300)) : 0;
    }
    v1::RunnerLoads loads;
    relay::setCounts(loads, counts);
    CHECK(relay::countsOf(loads, counts.size()) == counts);
  }
}

TEST_CASE("A report of a large fleet contains only the runners with requests in progress") {
  std::vector<uint32_t> counts(3000, 0);
  counts[17] = 2;
  counts[2999] = 1;
  v1::RunnerLoads loads;
  relay::setCounts(loads, counts);
  CHECK(loads.ByteSizeLong() < 20);
  CHECK(relay::countsOf(loads, 3000) == counts);
  CHECK_FALSE(relay::countsOf(loads, 2999));
}

TEST_CASE("Reports about an older list are added at the same runners of the newest list") {
  relay::RunnerListHistory history;
  v1::RunnerList old;
  old.set_version(3);
  for (const char* id : {"a", "b", "d"}) {
    old.add_runners()->set_id(id);
  }
  v1::RunnerList now;
  now.set_version(4);
  for (const char* id : {"b", "c", "d"}) {
    now.add_runners()->set_id(id);
  }
  history.add(old);
  history.add(now);
  CHECK(history.positionsFrom(2) == nullptr);
  const auto* positions = history.positionsFrom(3);
  REQUIRE(positions != nullptr);
  CHECK(*positions == std::vector<std::optional<uint32_t>>{std::nullopt, 0, 2});

  v1::RunnerLoads report;
  report.set_list_version(3);
  relay::setCounts(report, {5, 6, 7});
  report.add_suspects(2);
  relay::LoadTotals totals(4, 3);
  totals.add(report);
  CHECK(*relay::countsOf(totals.totals(), 3) == std::vector<uint32_t>{0, 0, 0});
  totals.addFromOlderList(report, *positions);
  totals.addFromOlderList(report, *positions);
  CHECK(*relay::countsOf(totals.totals(), 3) == std::vector<uint32_t>{12, 0, 14});
  REQUIRE(totals.totals().suspects_size() == 1);
  CHECK(totals.totals().suspects(0) == 2);
}

} // namespace workshatch::test

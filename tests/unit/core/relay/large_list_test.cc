/// @file
/// Updates of a list of ten thousand runners at one relay: their cost, and the equality of the
/// updated table with one made from the whole list.
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/runner_entry.h"
#include "core/relay/runner_list_history.h"
#include "core/relay/runner_table.h"

namespace workshatch::test {

namespace {

constexpr size_t kRunners = 10'000;

v1::RunnerEntry entryOf(size_t number) {
  v1::RunnerEntry entry;
  std::string id = std::to_string(number * 2654435761U % 4294967291U);
  entry.set_id("i-" + id);
  entry.set_service(number % 25 == 0 ? "plain" : "model");
  entry.set_address("10.0.0.1:" + std::to_string(number));
  entry.set_zone("z" + std::to_string(number % 5));
  entry.set_slots(32);
  return entry;
}

void sortById(v1::RunnerList& list) {
  std::sort(list.mutable_runners()->begin(), list.mutable_runners()->end(), relay::comesBefore);
}

v1::RunnerList wholeList(uint64_t version, size_t from, size_t count) {
  v1::RunnerList list;
  list.set_version(version);
  for (size_t i = 0; i < count; ++i) {
    *list.add_runners() = entryOf(from + i);
  }
  sortById(list);
  return list;
}

/// Removes some runners, adds new ones, and marks others as leaving or restarted.
v1::RunnerList changedList(const v1::RunnerList& list, std::mt19937& random, size_t changes,
                           size_t& next_number) {
  v1::RunnerList changed = list;
  changed.set_version(list.version() + 1);
  for (size_t i = 0; i < changes; ++i) {
    const int position = std::uniform_int_distribution<int>(0, changed.runners_size() - 1)(random);
    const int kind = std::uniform_int_distribution<int>(0, 3)(random);
    if (kind == 0) {
      changed.mutable_runners()->DeleteSubrange(position, 1);
    } else if (kind == 1) {
      *changed.add_runners() = entryOf(next_number++);
    } else if (kind == 2) {
      changed.mutable_runners(position)->set_leaving(true);
    } else {
      changed.mutable_runners(position)->set_born_ms(next_number++);
    }
  }
  sortById(changed);
  return changed;
}

std::vector<std::string> idsOf(const relay::RunnerTable& table) {
  std::vector<std::string> ids;
  for (const auto& runner : table.runners()) {
    ids.push_back(runner->entry.id());
  }
  return ids;
}

} // namespace

TEST_CASE("An update of 20 of 10,000 runners reads 20 entries") {
  // Load pattern: runners are replaced or drained one after the other, so that each reading of the
  // platform's list, once a second, differs from the previous one in a few entries.
  std::mt19937 random(3);
  size_t next_number = kRunners;
  relay::RunnerListHistory history;
  const v1::RunnerList first = wholeList(1, 0, kRunners);
  history.add(first);
  relay::RunnerTable table(relay::RunnerTableOptions{});
  REQUIRE_FALSE(isError(table.applyUpdate(history.updateFrom(0), 0)));
  CHECK(table.entriesApplied() == kRunners);
  history.add(changedList(first, random, 20, next_number));
  const auto& update = history.updateFrom(1);
  CHECK(update.ByteSizeLong() < 2000);
  REQUIRE_FALSE(isError(table.applyUpdate(update, 1000)));
  CHECK(table.entriesApplied() <= kRunners + 20);
}

TEST_CASE("A table after many updates equals the table of the whole list") {
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    size_t next_number = 300;
    v1::RunnerList list = wholeList(1, 0, 200);
    relay::RunnerTable updated(relay::RunnerTableOptions{});
    updated.setList(list, 0);
    for (int step = 0; step < 30; ++step) {
      relay::RunnerListHistory history;
      history.add(list);
      list = changedList(list, random, 1 + seed % 40, next_number);
      history.add(list);
      REQUIRE_FALSE(isError(updated.applyUpdate(history.updateFrom(list.version() - 1), step)));
    }
    relay::RunnerTable whole(relay::RunnerTableOptions{});
    whole.setList(list, 0);
    CHECK(idsOf(updated) == idsOf(whole));
    CHECK(updated.listFingerprint() == whole.listFingerprint());
    CHECK(updated.listFingerprint() == relay::fingerprintOf(list));
    CHECK(updated.list().SerializeAsString() == list.SerializeAsString());
    for (const auto& runner : whole.runners()) {
      const auto found = updated.find(runner->fingerprint);
      REQUIRE(found != nullptr);
      CHECK(found->entry.leaving() == runner->entry.leaving());
      CHECK_FALSE(found->gone);
    }
  }
}

TEST_CASE("The state of a runner survives updates about others and ends with its process") {
  relay::RunnerTable table(relay::RunnerTableOptions{});
  v1::RunnerList list = wholeList(1, 0, 100);
  table.setList(list, 0);
  const auto kept = table.runners()[10];
  const auto restarted = table.runners()[20];
  table.beginAttempt(*kept, 0);
  table.beginAttempt(*restarted, 0);
  relay::RunnerListHistory history;
  history.add(list);
  list.set_version(2);
  list.mutable_runners(20)->set_born_ms(77);
  list.mutable_runners()->DeleteSubrange(50, 3);
  history.add(list);
  REQUIRE_FALSE(isError(table.applyUpdate(history.updateFrom(1), 1000)));
  CHECK(table.find(kept->fingerprint) == kept);
  CHECK(kept->in_progress == 1);
  CHECK(table.find(restarted->fingerprint) == nullptr);
  CHECK(restarted->gone);
  CHECK(table.runners()[20]->in_progress == 0);
  v1::RunnerListUpdate other;
  other.set_version(9);
  other.set_base_version(7);
  CHECK(isError(table.applyUpdate(other, 2000)));
}

} // namespace workshatch::test

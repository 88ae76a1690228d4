/// @file
/// The choice of a runner: homes of cached prompts, loads, runners that fail or leave.
#include <doctest/doctest.h>

#include "core/relay/load_sums.h"
#include "core/relay/runner_table.h"

namespace workshatch::test {

namespace {

v1::RunnerList listOf(int count, uint64_t version = 1) {
  v1::RunnerList list;
  list.set_version(version);
  for (int i = 0; i < count; ++i) {
    v1::RunnerEntry* entry = list.add_runners();
    entry->set_id("r" + std::to_string(i));
    entry->set_service("s");
    entry->set_address("127.0.0.1:1");
    entry->set_zone("z");
  }
  return list;
}

relay::RunnerRequest wish(uint64_t cache_key = 0) {
  return relay::RunnerRequest{
      .service = "s", .cache_key = cache_key, .draw = 1, .zone = "z", .now_ms = 1000};
}

} // namespace

TEST_CASE("A cached prompt goes to the same home while loads allow") {
  relay::RunnerTable table({});
  table.setList(listOf(8));
  const auto home = table.choose(wish(42))->runner;
  for (int i = 0; i < 3; ++i) {
    CHECK(table.choose(wish(42))->runner == home);
    table.beginAttempt(*home, 1000);
  }
}

TEST_CASE("A home that is loaded over the rest is left") {
  relay::RunnerTable table({});
  table.setList(listOf(8));
  const auto home = table.choose(wish(42))->runner;
  for (int i = 0; i < 12; ++i) {
    table.beginAttempt(*home, 1000);
  }
  const auto other = table.choose(wish(42));
  CHECK(other->runner != home);
  CHECK(other->passed_over >= 1);
}

TEST_CASE("Loads of the other relays count until they are stale") {
  relay::RunnerTable table({});
  table.setList(listOf(3, 7));
  v1::RunnerLoads sums;
  sums.set_list_version(7);
  sums.add_in_progress(9);
  sums.add_in_progress(0);
  sums.add_in_progress(9);
  table.setSums(sums, table.ownLoads(1000), 1000);
  CHECK(table.choose(wish())->runner->entry.id() == "r1");
  sums.set_list_version(6);
  sums.set_in_progress(1, 100);
  table.setSums(sums, table.ownLoads(1000), 1000);
  CHECK(table.choose(wish())->runner->load() == 0);
  relay::RunnerRequest later = wish();
  later.now_ms = 10'000;
  (void)table.choose(later);
  CHECK(table.runners()[0]->load() == 0);
}

TEST_CASE("Leaving and excluded runners are never chosen") {
  relay::RunnerTable table({});
  v1::RunnerList list = listOf(3);
  list.mutable_runners(0)->set_leaving(true);
  table.setList(list);
  relay::RunnerRequest request = wish();
  request.excluded = {"r1"};
  CHECK(table.choose(request)->runner->entry.id() == "r2");
  request.excluded = {"r1", "r2"};
  CHECK_FALSE(table.choose(request));
}

TEST_CASE("A runner that can't be reached is avoided, but is the last resort") {
  relay::RunnerTable table({});
  table.setList(listOf(2));
  const auto bad = table.choose(wish())->runner;
  table.beginAttempt(*bad, 1000);
  table.endAttempt(*bad, relay::AttemptOutcome::Unreachable, 1000);
  relay::RunnerRequest request = wish();
  request.now_ms = 1001;
  CHECK(table.choose(request)->runner != bad);
  request.excluded = {table.choose(request)->runner->entry.id()};
  const auto last = table.choose(request);
  CHECK(last->runner == bad);
  CHECK(last->last_resort);
}

TEST_CASE("What is known of a runner outlives a new list") {
  relay::RunnerTable table({});
  table.setList(listOf(2, 1));
  const auto runner = table.runners()[0];
  table.beginAttempt(*runner, 1000);
  table.setList(listOf(3, 2));
  CHECK(table.runners()[0] == runner);
  CHECK(table.ownLoads(1000).in_progress(0) == 1);
  table.setList(v1::RunnerList());
  table.endAttempt(*runner, relay::AttemptOutcome::Succeeded, 1000);
  CHECK(runner->gone);
}

TEST_CASE("A runner that falls silent with requests in progress is avoided and reported") {
  relay::RunnerTable table({});
  table.setList(listOf(4, 7));
  const auto home = table.choose(wish(42))->runner;
  table.beginAttempt(*home, 1000);
  relay::RunnerRequest later = wish(42);
  later.now_ms = 1400;
  CHECK(table.choose(later)->runner == home);
  later.now_ms = 1600;
  CHECK(table.choose(later)->runner != home);
  CHECK(table.ownLoads(1600).suspects_size() == 1);
  table.noteSignOfLife(*home, 1600);
  CHECK(table.choose(later)->runner == home);
  CHECK(table.ownLoads(1600).suspects_size() == 0);
}

TEST_CASE("A runner that other relays suspect is avoided for a while") {
  relay::RunnerTable table({});
  table.setList(listOf(4, 7));
  const auto home = table.choose(wish(42))->runner;
  relay::LoadSums sums(7, 4);
  v1::RunnerLoads report = table.ownLoads(1000);
  for (uint32_t i = 0; i < 4; ++i) {
    if (table.runners()[i] == home) {
      report.add_suspects(i);
    }
  }
  sums.add(report);
  CHECK(sums.sums().suspects_size() == 0);
  sums.add(report);
  REQUIRE(sums.sums().suspects_size() == 1);
  table.setSums(sums.sums(), table.ownLoads(1000), 1000);
  CHECK(table.choose(wish(42))->runner != home);
  relay::RunnerRequest later = wish(42);
  later.now_ms = 2000;
  CHECK(table.choose(later)->runner == home);
}

} // namespace workshatch::test

/// @file
/// Choice of a runner: homes of cached prompts, loads, and runners that fail or leave.
#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/load_totals.h"
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

relay::RunnerRequest makeRequest(uint64_t cache_key = 0) {
  return relay::RunnerRequest{
      .service = "s", .cache_key = cache_key, .zone = "z", .now_ms = 1000, .rank = {.draw = 1}};
}

std::optional<relay::RunnerChoice> chosen(relay::RunnerTable& table,
                                          const relay::RunnerRequest& request) {
  const auto choice = table.choose(request);
  const auto* made = std::get_if<relay::RunnerChoice>(&choice);
  if (made == nullptr) {
    return std::nullopt;
  }
  table.recordSent(request, *made);
  return *made;
}

} // namespace

TEST_CASE("A cached prompt goes to the same home while loads allow it") {
  relay::RunnerTable table({});
  table.setList(listOf(8), 0);
  const auto home = chosen(table, makeRequest(42))->runner;
  for (int i = 0; i < 3; ++i) {
    CHECK(chosen(table, makeRequest(42))->runner == home);
    table.beginAttempt(*home, 1000);
  }
}

TEST_CASE("A home with a much higher load than the others is passed over") {
  relay::RunnerTable table({});
  table.setList(listOf(8), 0);
  const auto home = chosen(table, makeRequest(42))->runner;
  for (int i = 0; i < 12; ++i) {
    table.beginAttempt(*home, 1000);
  }
  const auto other = chosen(table, makeRequest(42));
  CHECK(other->runner != home);
  CHECK(other->passed_over >= 1);
}

TEST_CASE("Loads of the other relays are used until they are stale") {
  relay::RunnerTable table({});
  table.setList(listOf(3, 7), 0);
  v1::RunnerLoads totals;
  totals.set_list_version(7);
  totals.add_in_progress(9);
  totals.add_in_progress(0);
  totals.add_in_progress(9);
  table.setLoadTotals(totals, table.ownLoads(1000), 1000);
  CHECK(chosen(table, makeRequest())->runner->entry.id() == "r1");
  totals.set_list_version(6);
  totals.set_in_progress(1, 100);
  table.setLoadTotals(totals, table.ownLoads(1000), 1000);
  CHECK(chosen(table, makeRequest())->runner->load() == 0);
  relay::RunnerRequest later = makeRequest();
  later.now_ms = 10'000;
  (void)chosen(table, later);
  CHECK(table.runners()[0]->load() == 0);
}

TEST_CASE("Leaving and excluded runners are never chosen") {
  relay::RunnerTable table({});
  v1::RunnerList list = listOf(3);
  list.mutable_runners(0)->set_leaving(true);
  table.setList(list, 0);
  relay::RunnerRequest request = makeRequest();
  request.excluded = {"r1"};
  CHECK(chosen(table, request)->runner->entry.id() == "r2");
  request.excluded = {"r1", "r2"};
  CHECK_FALSE(chosen(table, request));
  request.excluded = {"r1"};
  request.excluded_addresses = {chosen(table, request)->runner->entry.address()};
  CHECK_FALSE(chosen(table, request));
}

TEST_CASE("A runner that can't be reached is avoided, but used as a last resort") {
  relay::RunnerTable table({});
  table.setList(listOf(2), 0);
  const auto bad = chosen(table, makeRequest())->runner;
  table.beginAttempt(*bad, 1000);
  table.endAttempt(*bad, relay::AttemptOutcome::Unreachable, 1000);
  relay::RunnerRequest request = makeRequest();
  request.now_ms = 1001;
  CHECK(chosen(table, request)->runner != bad);
  request.excluded = {chosen(table, request)->runner->entry.id()};
  const auto last = chosen(table, request);
  CHECK(last->runner == bad);
  CHECK(last->last_resort);
}

TEST_CASE("Full runners get no requests except resumed streams") {
  relay::RunnerTable table({});
  v1::RunnerList list = listOf(2);
  for (v1::RunnerEntry& entry : *list.mutable_runners()) {
    entry.set_slots(10);
  }
  table.setList(list, 0);
  relay::RunnerRequest request = makeRequest(42);
  request.engine = true;
  for (int i = 0; i < 10; ++i) {
    table.beginAttempt(*table.runners()[0], 1000);
    table.beginAttempt(*table.runners()[1], 1000);
  }
  CHECK(std::get<relay::NoRunner>(table.choose(request)) == relay::NoRunner::AllFull);
  relay::RunnerRequest urgent = request;
  urgent.ignores_limits = true;
  CHECK(chosen(table, urgent));
  table.endAttempt(*table.runners()[1], relay::AttemptOutcome::Succeeded, 1000);
  CHECK(chosen(table, request)->runner == table.runners()[1]);
}

TEST_CASE("While most slots are free a home may get a few requests more than its slots") {
  relay::RunnerTable table({});
  v1::RunnerList list = listOf(8);
  for (v1::RunnerEntry& entry : *list.mutable_runners()) {
    entry.set_slots(4);
  }
  table.setList(list, 0);
  relay::RunnerRequest request = makeRequest(42);
  request.engine = true;
  request.rank.priority = 9;
  const auto home = chosen(table, request)->runner;
  // The home has more requests than slots, and less than twice the mean plus three.
  for (const auto& runner : table.runners()) {
    for (int i = 0; i < (runner == home ? 5 : 2); ++i) {
      table.beginAttempt(*runner, 1000);
    }
  }
  CHECK(chosen(table, request)->runner == home);
  // The other runners fill up, so that the last slots of all are reserved for more urgent requests.
  for (const auto& runner : table.runners()) {
    while (runner != home && runner->load() < 4) {
      table.beginAttempt(*runner, 1000);
    }
  }
  CHECK(std::get<relay::NoRunner>(table.choose(request)) == relay::NoRunner::AllFull);
}

TEST_CASE("A runner that declined a request counts as full for a moment, not as failing") {
  relay::RunnerTable table({});
  table.setList(listOf(1), 0);
  const auto runner = chosen(table, makeRequest())->runner;
  table.beginAttempt(*runner, 1000);
  table.endAttempt(*runner, relay::AttemptOutcome::Refused, 1000);
  CHECK(std::get<relay::NoRunner>(table.choose(makeRequest())) == relay::NoRunner::AllFull);
  relay::RunnerRequest later = makeRequest();
  later.now_ms = 1200;
  CHECK(chosen(table, later));
  CHECK(table.ownLoads(1000).suspects_size() == 0);
}

TEST_CASE("A runner that declined while it had few requests is tried again earlier") {
  relay::RunnerTable table({});
  v1::RunnerList list = listOf(1);
  list.mutable_runners(0)->set_slots(6);
  table.setList(list, 0);
  const auto runner = chosen(table, makeRequest())->runner;
  const auto declineWith = [&](uint32_t others) {
    runner->others_in_progress = others;
    table.beginAttempt(*runner, 1000);
    table.endAttempt(*runner, relay::AttemptOutcome::Refused, 1000);
    return runner->full_until_ms;
  };
  CHECK(declineWith(1) == 1020);
  CHECK(declineWith(5) == 1100);
}

TEST_CASE("Relays with the same load totals fill a busy runner to its limit and no further") {
  constexpr size_t kRelays = 10;
  constexpr uint32_t kSlots = 48;
  v1::RunnerList list = listOf(1, 7);
  list.mutable_runners(0)->set_slots(kSlots);
  uint32_t before = 0;
  SUBCASE("some slots are free") { before = 33; }
  SUBCASE("few slots are free") { before = 45; }
  SUBCASE("the runner is over its limit") { before = 70; }
  std::vector<std::unique_ptr<relay::RunnerTable>> relays;
  v1::RunnerLoads totals;
  totals.set_list_version(7);
  totals.add_in_progress(before);
  uint32_t total = 0;
  for (size_t i = 0; i < kRelays; ++i) {
    auto table = std::make_unique<relay::RunnerTable>(relay::RunnerTableOptions{});
    table->setList(list, 0);
    table->setRelays(kRelays);
    const uint32_t own = before / kRelays + (i < before % kRelays ? 1 : 0);
    for (uint32_t started = 0; started < own; ++started) {
      table->beginAttempt(*table->runners()[0], 1000);
    }
    // Before these totals as many requests arrive as in the rounds below.
    for (int sent = 0; sent < 4; ++sent) {
      (void)table->choose(makeRequest(42));
    }
    table->setLoadTotals(totals, table->ownLoads(1000), 1000);
    relays.push_back(std::move(table));
  }
  std::mt19937_64 random(before);
  for (int round = 0; round < 4; ++round) {
    for (auto& table : relays) {
      relay::RunnerRequest request = makeRequest(42);
      request.engine = true;
      request.rank.draw = random();
      if (chosen(*table, request)) {
        table->beginAttempt(*table->runners()[0], 1000);
      }
    }
  }
  for (auto& table : relays) {
    total += table->runners()[0]->in_progress;
  }
  // Because of the random draws, the result may differ a little from the number of free slots.
  CHECK(total <= std::max(before, kSlots + static_cast<uint32_t>(kRelays)));
  CHECK(total >= std::min(before, kSlots - 6));
}

TEST_CASE("The state of a runner survives a new list") {
  relay::RunnerTable table({});
  table.setList(listOf(2, 1), 0);
  const auto runner = table.runners()[0];
  table.beginAttempt(*runner, 1000);
  table.setList(listOf(3, 2), 0);
  CHECK(table.runners()[0] == runner);
  CHECK(table.ownLoads(1000).in_progress(0) == 1);
  table.setList(v1::RunnerList(), 0);
  table.endAttempt(*runner, relay::AttemptOutcome::Succeeded, 1000);
  CHECK(runner->gone);
}

TEST_CASE("A runner that sends nothing while requests are in progress is avoided and reported") {
  relay::RunnerTable table({});
  table.setList(listOf(4, 7), 0);
  const auto home = chosen(table, makeRequest(42))->runner;
  table.beginAttempt(*home, 1000);
  relay::RunnerRequest later = makeRequest(42);
  later.now_ms = 1400;
  CHECK(chosen(table, later)->runner == home);
  later.now_ms = 1600;
  CHECK(chosen(table, later)->runner != home);
  // While no other runner is heard, the relay's own network path may be the cause.
  CHECK(table.ownLoads(1600).suspects_size() == 0);
  const auto& others = table.runners();
  table.recordHeard(home == others[0] ? *others[1] : *others[0], 1550);
  CHECK(table.ownLoads(1600).suspects_size() == 1);
  table.setPathLost(home->entry.service(), true);
  CHECK(table.ownLoads(1600).suspects_size() == 0);
  table.setPathLost(home->entry.service(), false);
  CHECK(table.ownLoads(1600).suspects_size() == 1);
  table.recordActivity(*home, 1600);
  CHECK(chosen(table, later)->runner == home);
  CHECK(table.ownLoads(1600).suspects_size() == 0);
}

TEST_CASE("A runner that other relays suspect is avoided for a limited time") {
  relay::RunnerTable table({});
  table.setList(listOf(4, 7), 0);
  const auto home = chosen(table, makeRequest(42))->runner;
  relay::LoadTotals totals(7, 4);
  v1::RunnerLoads report = table.ownLoads(1000);
  for (uint32_t i = 0; i < 4; ++i) {
    if (table.runners()[i] == home) {
      report.add_suspects(i);
    }
  }
  totals.add(report);
  CHECK(totals.totals().suspects_size() == 0);
  totals.add(report);
  REQUIRE(totals.totals().suspects_size() == 1);
  table.setLoadTotals(totals.totals(), table.ownLoads(1000), 1000);
  CHECK(chosen(table, makeRequest(42))->runner != home);
  relay::RunnerRequest later = makeRequest(42);
  later.now_ms = 2000;
  CHECK(chosen(table, later)->runner == home);
}

/// Load totals in which at least two relays suspect the runners up to `suspects`.
v1::RunnerLoads totalsWithSuspects(const relay::RunnerTable& table, uint32_t suspects) {
  v1::RunnerLoads totals = table.ownLoads(0);
  for (uint32_t i = 0; i < suspects; ++i) {
    totals.add_suspects(i);
  }
  return totals;
}

size_t runnersChosenFor(relay::RunnerTable& table, int64_t now_ms) {
  constexpr uint64_t kPrompts = 200;
  std::set<std::string> ids;
  for (uint64_t prompt = 1; prompt <= kPrompts; ++prompt) {
    relay::RunnerRequest request = makeRequest(prompt);
    request.now_ms = now_ms;
    ids.insert(chosen(table, request)->runner->entry.id());
  }
  return ids.size();
}

TEST_CASE("Requests gather at the few runners that no relay suspects") {
  constexpr uint32_t kRunners = 12;
  relay::RunnerTable table({});
  table.setList(listOf(kRunners, 7), 0);
  // Half of the runners suffice, so the suspicions hold.
  table.setLoadTotals(totalsWithSuspects(table, 6), table.ownLoads(1000), 1000);
  CHECK(runnersChosenFor(table, 1100) == 6);
  // The requests of twelve runners would overload two.
  table.setLoadTotals(totalsWithSuspects(table, 10), table.ownLoads(1000), 1000);
  CHECK(runnersChosenFor(table, 1100) == kRunners);
  // What a relay has seen itself holds all the same.
  table.endAttempt(*table.runners()[0], relay::AttemptOutcome::Unreachable, 1000);
  CHECK(runnersChosenFor(table, 1100) == kRunners - 1);
}

TEST_CASE("A runner is avoided as silent although this relay has just heard from it") {
  relay::RunnerTable table({});
  table.setList(listOf(4, 7), 0);
  table.recordHeard(*table.runners()[0], 4000);
  table.setLoadTotals(totalsWithSuspects(table, 2), table.ownLoads(4200), 4200);
  CHECK(runnersChosenFor(table, 4300) == 3);
}

} // namespace workshatch::test

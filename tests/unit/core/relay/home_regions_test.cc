/// @file
/// The regions in which requests may run, restricted by the route, by the tenant, or by both.
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/runner_table.h"

namespace workshatch::test {

namespace {

const std::vector<std::string> kEast{"east"};
const std::vector<std::string> kBoth{"east", "west"};
const std::vector<std::string> kNorth{"north"};
const std::vector<std::string> kNone;
/// Multiplier that spreads small numbers over all bits, as fingerprints of requests are.
constexpr uint64_t kSpread = 0x9e3779b97f4a7c15U;

relay::RunnerTable tableOfTwoRegions(const relay::ZoneRegions& zones) {
  relay::RunnerTable table(relay::RunnerTableOptions{.zones = zones});
  v1::RunnerList list;
  list.set_version(1);
  for (const char* zone : {"a", "b", "unknown"}) {
    v1::RunnerEntry* entry = list.add_runners();
    entry->set_id(std::string("runner-") + zone);
    entry->set_service("s");
    entry->set_zone(zone);
  }
  table.setList(list, 0);
  return table;
}

/// @return the runners that a request with these home regions is sent to, over many draws.
std::set<std::string> reachedRunners(relay::RunnerTable& table,
                                     const relay::HomeRegions& home_regions,
                                     uint64_t cache_key = 0) {
  std::set<std::string> runners;
  for (uint64_t draw = 0; draw < 64; ++draw) {
    const auto chosen = table.choose(relay::RunnerRequest{.service = "s",
                                                          .cache_key = cache_key * (draw + 1),
                                                          .now_ms = 1000,
                                                          .home_regions = home_regions,
                                                          .rank = {.draw = draw * kSpread}});
    if (const auto* choice = std::get_if<relay::RunnerChoice>(&chosen)) {
      runners.insert(choice->runner->entry.id());
    }
  }
  return runners;
}

} // namespace

TEST_CASE("A request runs only in regions that both its route and its tenant allow") {
  using Names = std::set<std::string>;
  const relay::ZoneRegions zones({{"a", "east"}, {"b", "west"}});
  relay::RunnerTable table = tableOfTwoRegions(zones);
  for (const uint64_t cache_key : {0U, 77U}) {
    CAPTURE(cache_key);
    CHECK(reachedRunners(table, {}, cache_key).size() == 3);
    CHECK(reachedRunners(table, {.of_route = &kNone, .of_tenant = &kNone}, cache_key).size() == 3);
    CHECK(reachedRunners(table, {.of_route = &kEast}, cache_key) == Names{"runner-a"});
    CHECK(reachedRunners(table, {.of_tenant = &kEast}, cache_key) == Names{"runner-a"});
    CHECK(reachedRunners(table, {.of_route = &kBoth}, cache_key) == Names{"runner-a", "runner-b"});
    CHECK(reachedRunners(table, {.of_route = &kBoth, .of_tenant = &kEast}, cache_key) ==
          Names{"runner-a"});
    CHECK(reachedRunners(table, {.of_route = &kEast, .of_tenant = &kNorth}, cache_key).empty());
  }
}

TEST_CASE("If the settings map no zone to a region, a request runs anywhere") {
  relay::RunnerTable table = tableOfTwoRegions(relay::ZoneRegions());
  CHECK(reachedRunners(table, {.of_route = &kEast}).size() == 3);
}

} // namespace workshatch::test

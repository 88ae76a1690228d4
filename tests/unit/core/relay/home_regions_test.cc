/// @file
/// Regions in which requests may run: those of the route and of the tenant, and both.
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
/// Spreads small numbers over all bits, as fingerprints of requests are.
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

/// @return the runners that a request with these homes goes to, over many draws.
std::set<std::string> reached(relay::RunnerTable& table, const relay::HomeRegions& homes,
                              uint64_t cache_key = 0) {
  std::set<std::string> runners;
  for (uint64_t draw = 0; draw < 64; ++draw) {
    const auto chosen = table.choose(relay::RunnerRequest{.service = "s",
                                                          .cache_key = cache_key * (draw + 1),
                                                          .now_ms = 1000,
                                                          .home_regions = homes,
                                                          .rank = {.draw = draw * kSpread}});
    if (const auto* choice = std::get_if<relay::RunnerChoice>(&chosen)) {
      runners.insert(choice->runner->entry.id());
    }
  }
  return runners;
}

} // namespace

TEST_CASE("A request runs in the regions of its route and of its tenant; where both name some, "
          "both bind") {
  using Names = std::set<std::string>;
  const relay::ZoneRegions zones({{"a", "east"}, {"b", "west"}});
  relay::RunnerTable table = tableOfTwoRegions(zones);
  for (const uint64_t cache_key : {0U, 77U}) {
    CAPTURE(cache_key);
    CHECK(reached(table, {}, cache_key).size() == 3);
    CHECK(reached(table, {.of_route = &kNone, .of_tenant = &kNone}, cache_key).size() == 3);
    CHECK(reached(table, {.of_route = &kEast}, cache_key) == Names{"runner-a"});
    CHECK(reached(table, {.of_tenant = &kEast}, cache_key) == Names{"runner-a"});
    CHECK(reached(table, {.of_route = &kBoth}, cache_key) == Names{"runner-a", "runner-b"});
    CHECK(reached(table, {.of_route = &kBoth, .of_tenant = &kEast}, cache_key) ==
          Names{"runner-a"});
    CHECK(reached(table, {.of_route = &kEast, .of_tenant = &kNorth}, cache_key).empty());
  }
}

TEST_CASE("Without regions in the settings a request runs anywhere") {
  relay::RunnerTable table = tableOfTwoRegions(relay::ZoneRegions());
  CHECK(reached(table, {.of_route = &kEast}).size() == 3);
}

} // namespace workshatch::test

/// @file
/// Tests of which engines a router may use, given the backoffs that runners request and observed
/// failures.
#include <doctest/doctest.h>

#include "core/routing/fleet_table.h"

namespace workshatch::test {

namespace {

routing::FleetTable tableOfTwo() {
  routing::FleetTable table(routing::HoldDownOptions{});
  table.setListed({routing::ListedRunner{.runner = "tired", .service = "s", .engines = 2},
                   routing::ListedRunner{.runner = "free", .service = "s"}});
  return table;
}

size_t usableEngines(const routing::FleetTable& table, int64_t now_ms) {
  size_t count = 0;
  for (const routing::EngineInfo& engine : table.engines("s", now_ms)) {
    count += engine.isUsable() ? 1 : 0;
  }
  return count;
}

} // namespace

TEST_CASE("A router sends requests to engines of a runner that requested a backoff") {
  routing::FleetTable table = tableOfTwo();
  CHECK(usableEngines(table, 1000) == 3);
  table.recordBackoffRequest("tired", 3000, 1000);
  CHECK(usableEngines(table, 1000) == 1);
  // The outcome of an earlier request does not end the backoff.
  table.recordSuccess("tired", 1500);
  table.recordFailure("tired", 1500);
  CHECK(usableEngines(table, 3999) == 1);
  CHECK(usableEngines(table, 4000) == 3);
}

TEST_CASE("A lookup of an engine ignores the backoff that its runner requested") {
  routing::FleetTable table = tableOfTwo();
  table.recordBackoffRequest("tired", 3000, 1000);
  REQUIRE(table.find("tired/1", 2000));
  CHECK(table.find("tired/1", 2000)->backing_off);
  CHECK_FALSE(table.find("tired/1", 4000)->backing_off);
  CHECK_FALSE(table.find("free/0", 2000)->backing_off);
}

} // namespace workshatch::test

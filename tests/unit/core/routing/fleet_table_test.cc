/// @file
/// Which engines a router may use: what runners say of themselves, and failures.
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

TEST_CASE("A router sends requests to all engines of a runner that asked for none") {
  routing::FleetTable table = tableOfTwo();
  CHECK(usableEngines(table, 1000) == 3);
  table.recordBackoffRequest("tired", 3000, 1000);
  CHECK(usableEngines(table, 1000) == 1);
  // A success or a failure of an earlier request does not end it.
  table.recordSuccess("tired", 1500);
  table.recordFailure("tired", 1500);
  CHECK(usableEngines(table, 3999) == 1);
  CHECK(usableEngines(table, 4000) == 3);
}

TEST_CASE("A runner that asked for no requests is found as if it wanted them") {
  routing::FleetTable table = tableOfTwo();
  table.recordBackoffRequest("tired", 3000, 1000);
  REQUIRE(table.find("tired/1", 2000));
  CHECK(table.find("tired/1", 2000)->backing_off);
  CHECK_FALSE(table.find("tired/1", 4000)->backing_off);
  CHECK_FALSE(table.find("free/0", 2000)->backing_off);
}

} // namespace workshatch::test

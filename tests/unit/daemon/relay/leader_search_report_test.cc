/// @file
/// Tests of the log lines about a relay's search for the leader.
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "daemon/relay/leader_search_report.h"

namespace workshatch::test {

TEST_CASE("A relay that finds no leader tells since when and what became of each address") {
  std::vector<nlohmann::json> lines;
  daemon::LeaderSearchReport report([&](std::string_view event, const nlohmann::json& fields) {
    lines.push_back(fields);
    lines.back()["event"] = event;
  });
  for (int64_t now_ms = 0; now_ms < 6500; now_ms += 80) {
    report.searching(now_ms);
    report.tried("a", "unreachable");
    report.tried("b", "no_leader");
  }
  report.found("c", 6500);
  REQUIRE(lines.size() == 3);
  CHECK(lines[0]["event"] == "leader_search");
  CHECK(lines[0]["search_ms"] == 1040);
  CHECK(lines[0]["outcomes"] == nlohmann::json({{"a", "unreachable"}, {"b", "no_leader"}}));
  CHECK(lines[2]["event"] == "leader_found");
  CHECK(lines[2]["search_ms"] == 6500);
  CHECK(report.searchingForMs(7000) == 0);
}

TEST_CASE("A search that ends within a second is not told") {
  int lines = 0;
  daemon::LeaderSearchReport report([&](std::string_view, const nlohmann::json&) { ++lines; });
  report.searching(0);
  report.searching(800);
  report.found("a", 900);
  report.searching(5000);
  CHECK(lines == 0);
  CHECK(report.searchingForMs(5300) == 300);
}

} // namespace workshatch::test

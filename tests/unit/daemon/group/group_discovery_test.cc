/// @file
/// Tests of how replicas find the group, and of what they hold of its leader.
#include <chrono>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "unit/daemon/group/group_fixture.h"

namespace workshatch::test {

TEST_CASE("A replica that is told of two groups belongs to one and disturbs neither") {
  Group group;
  startFirst(group);
  group.setSeeds({"x", "y", "z"});
  for (const char* address : {"x", "y", "z"}) {
    group.start(address, 1, true);
  }
  const auto termOf = [&](const char* address) { return group.at(address).term(); };
  REQUIRE(group.runUntil([&] { return group.at("x").knowsLeader(); }));
  // The groups' terms differ, so that a reply in the higher one would depose the other's leader.
  REQUIRE(group.runUntil([&] {
    for (const char* address : {"x", "y", "z"}) {
      group.at(address).handOverLeadership();
    }
    return termOf("x") > termOf("a") + 2;
  }));
  REQUIRE(group.runUntil([&] { return group.at("x").knowsLeader(); }));
  group.runFor(std::chrono::milliseconds(500));
  const uint64_t first_term = termOf("a");
  const uint64_t second_term = termOf("x");
  group.setSeeds({"a", "x"});
  group.start("d", 44, false);
  REQUIRE(group.runUntil([&] { return !group.at("d").memberAddresses().empty(); }));
  group.runFor(std::chrono::milliseconds(1500));
  CHECK(termOf("a") == first_term);
  CHECK(termOf("x") == second_term);
  const std::vector<std::string> members = group.at("d").memberAddresses();
  CHECK(members.size() == 4);
}

TEST_CASE("A learner whose leader is gone names no leader") {
  Group group;
  startFirst(group);
  group.start("d", 44, false);
  REQUIRE(group.runUntil([&] { return group.at("d").knowsLeader(); }));
  for (const char* address : {"a", "b", "c"}) {
    group.kill(address);
  }
  CHECK(group.runUntil([&] { return !group.at("d").knowsLeader(); }));
}

} // namespace workshatch::test

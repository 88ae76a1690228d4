/// @file
/// Tests of how replicas find the group, and of what they hold of its leader.
#include <doctest/doctest.h>

#include "unit/daemon/group/group_fixture.h"

namespace workshatch::test {

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

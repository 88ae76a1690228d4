/// @file
/// Tests of how long a voter that is gone counts while leaders change.
#include <chrono>
#include <functional>
#include <set>
#include <string>

#include <doctest/doctest.h>

#include "unit/daemon/group/group_fixture.h"

namespace workshatch::test {

namespace {

constexpr int64_t kSilentVoterLimitMs = 1400;
/// Shorter than the limit, so that no leader sees a whole limit of silence, and longer than the
/// interval of join requests.
constexpr std::chrono::milliseconds kLeadership{700};
constexpr int kLeaderships = 7;

/// Hands the leadership over again and again until the condition holds.
bool holdsWhileLeadersChange(Group& group, const std::function<bool()>& condition) {
  for (int i = 0; i < kLeaderships && !condition(); ++i) {
    group.runFor(kLeadership);
    if (GroupReplica* leader = group.leader(); leader != nullptr) {
      leader->handOverLeadership();
    }
  }
  return condition();
}

} // namespace

TEST_CASE("A voter that is gone keeps its vote as long as leaders change") {
  Group group(3, kSilentVoterLimitMs);
  startFirst(group);
  group.kill("c");
  group.start("d", 44, false);
  CHECK(holdsWhileLeadersChange(group, [&] { return group.at("d").votes(); }));
  REQUIRE(group.runUntil([&] { return group.leader() != nullptr; }));
  CHECK(group.members() == std::set<std::string>{"a", "b", "d"});
}

TEST_CASE("A voter that is away for a moment loses its vote to a learner while leaders change") {
  Group group(3, kSilentVoterLimitMs);
  startFirst(group);
  group.start("d", 44, false);
  REQUIRE(group.runUntil([&] { return group.at("d").stored().version() == 1; }));
  CHECK_FALSE(holdsWhileLeadersChange(group, [&] {
    if (group.isRunning("c")) {
      group.kill("c");
    } else {
      group.start("c", 13, false);
    }
    return group.at("d").votes();
  }));
  for (const char* address : {"a", "b"}) {
    CHECK(group.at(address).votes());
  }
}

} // namespace workshatch::test

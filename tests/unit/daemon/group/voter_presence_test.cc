/// @file
/// Tests of how long a voter that is gone counts while leaders change.
#include <chrono>
#include <functional>
#include <set>
#include <string>

#include <doctest/doctest.h>

#include "daemon/group/voter_presence.h"
#include "unit/daemon/group/group_fixture.h"

namespace workshatch::test {

using daemon::VoterPresence;

namespace {

/// Identities of the other voters of a group of five.
const std::set<uint64_t> kOthers = {2, 3, 4, 5};
constexpr int64_t kListenPeriodMs = 250;

/// Lets time pass, in which the present voters are heard.
/// @return the time at the end, in ms.
int64_t listenUntil(VoterPresence& presence, const std::set<uint64_t>& voters,
                    const std::set<uint64_t>& present, int64_t begin_ms, int64_t end_ms) {
  int64_t now_ms = begin_ms;
  for (; now_ms <= end_ms; now_ms += kListenPeriodMs) {
    presence.listen(voters, now_ms);
    for (const uint64_t voter : present) {
      presence.heard(voter, now_ms);
    }
  }
  return now_ms - kListenPeriodMs;
}

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

TEST_CASE("The silence of a voter that is gone counts while the others are heard") {
  VoterPresence presence;
  const int64_t now_ms = listenUntil(presence, kOthers, {3, 4, 5}, 0, 3000);
  CHECK(presence.silentForMs(2, now_ms) == 3000);
  CHECK(presence.silentForMs(3, now_ms) == 0);
}

TEST_CASE("A replica that has just become a voter counts as silent since long ago") {
  VoterPresence presence;
  int64_t now_ms = listenUntil(presence, {2, 3, 4}, {2, 3, 4}, 0, 10'000);
  now_ms += kListenPeriodMs;
  presence.listen(kOthers, now_ms);
  CHECK(presence.silentForMs(5, now_ms) == 0);
}

TEST_CASE("A process that stood still takes the voters for silent") {
  VoterPresence presence;
  int64_t now_ms = listenUntil(presence, kOthers, kOthers, 0, 2000);
  now_ms += 4000;
  CHECK(presence.silentForMs(2, now_ms) == 4000);
  presence.listen(kOthers, now_ms);
  CHECK(presence.silentForMs(2, now_ms) == 0);
}

TEST_CASE("A process that was cut off takes the voters for silent") {
  VoterPresence presence;
  int64_t now_ms = listenUntil(presence, kOthers, kOthers, 0, 2000);
  now_ms = listenUntil(presence, kOthers, {3}, now_ms, now_ms + 4000);
  for (const uint64_t voter : {2, 4, 5}) {
    CAPTURE(voter);
    CHECK(presence.silentForMs(voter, now_ms) < 1000);
  }
}

TEST_CASE("Processes that are no voters are remembered") {
  VoterPresence presence;
  presence.listen(kOthers, 0);
  presence.heard(99, 100);
  CHECK(presence.silentForMs(99, 5000) == 0);
  presence.listen({2, 3, 4}, 200);
  CHECK(presence.silentForMs(5, 5000) == 0);
}

} // namespace workshatch::test

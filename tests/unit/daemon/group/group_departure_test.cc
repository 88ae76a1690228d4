/// @file
/// Tests of planned stops: a voter that is being stopped hands its vote over to a learner. The
/// tests are named after the failures that they guard against.
#include <chrono>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "ports/seeded_random.h"
#include "unit/daemon/group/group_fixture.h"

namespace workshatch::test {

namespace {

constexpr size_t kVoters = 3;
/// Longer than a test, so that no silent voter is replaced.
constexpr int64_t kNeverSilentMs = 60'000;

/// Waits until the replica is a member that has this version of the configuration.
void awaitVersion(Group& group, const std::string& address, uint64_t version) {
  REQUIRE(group.runUntil([&] {
    return group.members().contains(address) && group.at(address).stored().version() == version;
  }));
}

/// @return the addresses of the running members that consider themselves voters.
std::set<std::string> voters(Group& group) {
  std::set<std::string> addresses;
  for (const std::string& address : group.members()) {
    if (group.isRunning(address) && group.at(address).votes()) {
      addresses.insert(address);
    }
  }
  return addresses;
}

} // namespace

// The group would never lead again: of its three voters one was stopped, and one lost its disk.
TEST_CASE("A disk that is lost right after a planned replacement leaves a group") {
  for (const bool leader_stops : {false, true}) {
    CAPTURE(leader_stops);
    Group group(kVoters, kNeverSilentMs);
    startFirst(group);
    group.start("d", 44, false);
    awaitVersion(group, "d", 1);
    std::vector<std::string> followers = {"a", "b", "c"};
    const std::string leader = group.leaderAddress();
    std::erase(followers, leader);
    const std::string leaving = leader_stops ? leader : followers[0];
    const std::string lost = followers[1];
    group.stopAsPlanned(leaving);
    CHECK_FALSE(group.at(leaving).hasVote());
    group.kill(leaving);

    group.kill(lost);
    group.wipe(lost);
    REQUIRE(group.store(2));
    group.start(lost, 99, false);
    REQUIRE(group.runUntil([&] { return group.at(lost).votes(); }));
    CHECK(group.read() == "v2");
  }
}

TEST_CASE("A replica that handed its vote over and is started again is taken in") {
  Group group(kVoters, kNeverSilentMs);
  startFirst(group);
  group.start("d", 44, false);
  awaitVersion(group, "d", 1);
  group.stopAsPlanned("a");
  group.kill("a");
  REQUIRE(group.store(2));
  group.start("a", 11, false);
  awaitVersion(group, "a", 2);
  // Now "a" is the one that can follow.
  group.stopAsPlanned("b");
  CHECK_FALSE(group.at("b").hasVote());
  group.kill("b");
  REQUIRE(group.runUntil([&] { return voters(group) == std::set<std::string>{"a", "c", "d"}; }));
  CHECK(group.store(3));
}

// A planned stop must not wait for what cannot come.
TEST_CASE("A voter without a successor keeps its vote and may end") {
  Group group(kVoters, kNeverSilentMs);
  startFirst(group);
  group.stopAsPlanned("a");
  CHECK(group.at("a").hasVote());
  group.kill("a");
  group.start("a", 11, false);
  REQUIRE(group.store(2));
  CHECK(group.at("a").votes());
}

TEST_CASE("A learner that does not answer takes no vote") {
  constexpr int64_t kSilentMs = 400;
  Group group(kVoters, kSilentMs);
  startFirst(group);
  group.start("d", 44, false);
  awaitVersion(group, "d", 1);
  group.kill("d");
  group.stopAsPlanned("a");
  CHECK(group.at("a").hasVote());
  CHECK(group.at("a").votes());
}

TEST_CASE("A successor that answers late for a moment costs the group the vote of a planned stop") {
  constexpr std::chrono::milliseconds kLate{300}; // some election timeouts
  Group group(kVoters, kNeverSilentMs);
  startFirst(group);
  group.start("d", 44, false);
  awaitVersion(group, "d", 1);
  group.cutOff("d", true);
  group.runFor(kLate);
  group.at("a").leave();
  group.runFor(kLate);
  CHECK_FALSE(group.at("a").mayEnd());
  group.cutOff("d", false);
  REQUIRE(group.runUntil([&] { return group.at("a").mayEnd(); }));
  CHECK_FALSE(group.at("a").hasVote());
  CHECK(group.store(2));
}

TEST_CASE("Two voters that are stopped together hand over as many votes as there are successors") {
  Group group(kVoters, kNeverSilentMs);
  startFirst(group);
  group.start("d", 44, false);
  awaitVersion(group, "d", 1);
  group.at("a").leave();
  group.at("b").leave();
  REQUIRE(group.runUntil([&] { return group.at("a").mayEnd() && group.at("b").mayEnd(); }));
  CHECK(group.at("a").hasVote() != group.at("b").hasVote());
  REQUIRE(group.leader() != nullptr);
  CHECK(group.leader()->voterCount() == kVoters);
  group.kill(group.at("a").hasVote() ? "b" : "a");
  CHECK(group.store(2));
}

TEST_CASE("A voter that crashes while it hands its vote over leaves no vote too many") {
  Group group(kVoters, 200);
  startFirst(group);
  group.start("d", 44, false);
  awaitVersion(group, "d", 1);
  group.at("a").leave();
  REQUIRE(group.runUntil([&] { return group.at("d").votes(); }));
  group.kill("a");
  REQUIRE(group.runUntil([&] {
    return group.leader() != nullptr && group.leader()->voterCount() == kVoters &&
           !group.members().contains("a");
  }));
  CHECK(group.store(2));
}

TEST_CASE("Planned stops and lost disks in any order, one at a time, leave a group") {
  constexpr uint64_t kSeeds = 2;
  constexpr uint64_t kSteps = 6;
  const std::vector<std::string> machines = {"a", "b", "c", "d", "e"};
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    SeededRandom random(seed);
    Group group(kVoters, 200);
    startFirst(group);
    group.start("d", 44, false);
    group.start("e", 55, false);
    uint64_t id = 100;
    for (uint64_t step = 0; step < kSteps; ++step) {
      const std::string& machine = machines[random.below(machines.size())];
      for (const std::string& address : machines) {
        awaitVersion(group, address, step + 1);
      }
      if (random.below(2) == 0) {
        group.stopAsPlanned(machine);
        group.kill(machine);
      } else {
        group.kill(machine);
        group.wipe(machine);
      }
      REQUIRE(group.store(step + 2));
      group.start(machine, ++id, false);
      REQUIRE(group.runUntil([&] { return voters(group).size() == kVoters; }));
    }
  }
}

} // namespace workshatch::test

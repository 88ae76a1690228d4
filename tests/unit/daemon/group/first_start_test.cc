/// @file
/// Tests of the first start of a group, during which machines are killed, lose their disks or are
/// replaced. The tests are named after the failures that they guard against.
#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "ports/seeded_random.h"
#include "unit/daemon/group/group_fixture.h"

namespace workshatch::test {

namespace {

constexpr uint64_t kNewId = 90;
const std::array<std::string, 3> kFounders = {"a", "b", "c"};

/// Runs the group for some time of its machines.
void runFor(Group& group, int64_t milliseconds) {
  const int64_t until_ms = group.clock().monotonicMs() + milliseconds;
  group.runUntil([&] { return group.clock().monotonicMs() >= until_ms; });
}

/// Starts the founders one after the other, each less than `latest_ms` after the one before.
void startFounders(Group& group, SeededRandom& random, uint64_t latest_ms) {
  for (const std::string& address : kFounders) {
    group.start(address, kNewId, true);
    runFor(group, static_cast<int64_t>(random.below(latest_ms)));
  }
}

/// Checks that the group serves, and goes on after the loss of one of its machines.
void checkBearsALoss(Group& group, const std::string& lost, uint64_t version) {
  REQUIRE(group.store(version));
  REQUIRE(group.runUntil([&] {
    GroupReplica* leader = group.leader();
    return leader != nullptr && leader->voterCount() == 3 && leader->memberAddresses().size() == 3;
  }));
  group.kill(lost);
  CHECK(group.store(version + 1));
  CHECK(group.read() == "v" + std::to_string(version + 1));
}

} // namespace

TEST_CASE("A disk that is lost during the first start leaves a group") {
  Group group;
  group.start("a", kNewId, true);
  runFor(group, 100);
  group.kill("a");
  group.wipe("a");
  group.start("b", kNewId, true);
  group.start("c", kNewId, true);
  REQUIRE(group.store(1));
  group.start("a", kNewId, false);
  REQUIRE(group.runUntil([&] { return group.at("a").votes() && group.at("a").id() == kNewId; }));
  checkBearsALoss(group, "b", 2);
}

TEST_CASE("A process that is killed during the first start leaves a group") {
  Group group;
  group.start("a", kNewId, true);
  runFor(group, 100);
  group.kill("a");
  group.start("b", kNewId, true);
  group.start("c", kNewId, true);
  runFor(group, 200);
  group.start("a", kNewId, false);
  checkBearsALoss(group, "b", 1);
}

TEST_CASE(
    "A disk that is full during the first start leaves a group that its founder joins later") {
  Group group;
  group.start("a", kNewId, true);
  group.start("b", kNewId, true);
  group.start("c", kNewId, true, true);
  REQUIRE(group.store(1));
  CHECK(group.at("c").stored().version() == 0);
  group.diskOf("c").full = false;
  // Before it votes, the group has two voters and bears no loss.
  REQUIRE(group.runUntil([&] { return group.at("c").votes(); }));
  CHECK(group.runUntil([&] { return group.at("c").stored().version() == 1; }));
  checkBearsALoss(group, "a", 2);
}

TEST_CASE("A machine that is replaced at another address during the first start leaves a group") {
  Group group;
  group.start("b", kNewId, true);
  group.start("c", kNewId, true);
  group.start("d", kNewId, false);
  REQUIRE(group.runUntil([&] { return group.at("d").votes(); }));
  checkBearsALoss(group, "b", 1);
}

// It must not vote again under its former identity.
TEST_CASE("A lost disk with the settings of a first start takes another identity") {
  Group group;
  startFirst(group);
  const uint64_t former = group.at("c").id();
  group.kill("c");
  group.wipe("c");
  group.start("c", kNewId, true);
  REQUIRE(group.runUntil([&] { return group.at("c").votes() && group.at("c").id() != former; }));
  checkBearsALoss(group, "a", 2);
}

TEST_CASE("Kills of all processes during the first start, in any order, leave one group") {
  constexpr uint64_t kSeeds = 6;
  constexpr uint64_t kLatestMs = 300;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    SeededRandom random(seed);
    Group group;
    startFounders(group, random, kLatestMs);
    for (const std::string& address : kFounders) {
      group.kill(address);
    }
    for (const std::string& address : kFounders) {
      group.start(address, kNewId, false);
    }
    checkBearsALoss(group, kFounders[random.below(kFounders.size())], 1);
  }
}

// Two of three founders would give up the identities that the third had made voters.
TEST_CASE("Founders that miss each other's answers form one group under their first identities") {
  constexpr uint64_t kSeeds = 4;
  constexpr uint64_t kLatestMs = 300;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    SeededRandom random(seed);
    Group group(3, 200, seed);
    group.loseHellos(20 + random.below(60));
    startFounders(group, random, kLatestMs);
    REQUIRE(group.runUntil([&] { return group.leader() != nullptr; }));
    REQUIRE(group.runUntil(
        [&] { return group.at("a").votes() && group.at("b").votes() && group.at("c").votes(); }));
    for (const std::string& address : kFounders) {
      CHECK(group.at(address).id() == daemon::founderIdentity(address));
    }
    checkBearsALoss(group, "b", 1);
  }
}

TEST_CASE("One machine that is struck at any moment of a first start leaves a group") {
  constexpr uint64_t kSeeds = 4;
  constexpr uint64_t kLatestMs = 600;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    SeededRandom random(seed);
    Group group(3, 200, seed);
    group.loseHellos(random.below(50));
    const std::string& struck = kFounders[random.below(kFounders.size())];
    const bool loses_disk = random.below(2) == 0;
    startFounders(group, random, 100);
    runFor(group, static_cast<int64_t>(random.below(kLatestMs)));
    group.kill(struck);
    if (loses_disk) {
      group.wipe(struck);
    }
    REQUIRE(group.store(1));
    group.start(struck, kNewId, false);
    REQUIRE(group.runUntil([&] { return group.at(struck).votes(); }));
    checkBearsALoss(group, struck == "a" ? "b" : "a", 2);
  }
}

// Two groups would keep different configurations.
TEST_CASE("Founders with different seeds form no group together") {
  Group group;
  group.start("a", kNewId, true);
  group.at("a").setSeeds({"a", "b", "d"});
  group.start("b", kNewId, true);
  group.start("c", kNewId, true);
  REQUIRE(group.store(1));
  CHECK(group.members() == std::set<std::string>{"a", "b", "c"});
  REQUIRE(group.runUntil([&] { return group.at("a").votes(); }));
  CHECK(group.at("a").id() != daemon::founderIdentity("a"));
}

} // namespace workshatch::test

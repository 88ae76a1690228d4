/// @file
/// Tests of group replicas: forming a group, storing and reading, membership changes, and failures
/// of disks, processes, machines and links.
#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "unit/daemon/group/group_fixture.h"

namespace workshatch::test {

namespace {

const CallOutcome<StoreOutcome> kStored = StoreOutcome::Stored;
const CallOutcome<StoreOutcome> kNotLeader = StoreOutcome::NotLeader;
const CallOutcome<const v1::StoredConfiguration*> kNothingRead =
    static_cast<const v1::StoredConfiguration*>(nullptr);

} // namespace

TEST_CASE("Three initial replicas form a group that stores, reads and keeps the highest version") {
  Group group;
  startFirst(group);
  CHECK(group.members() == std::set<std::string>{"a", "b", "c"});
  CHECK(group.store(9));
  CHECK(group.store(4));
  CHECK(group.read() == "v9");
}

TEST_CASE("Acknowledged configurations survive a restart of all replicas") {
  Group group;
  startFirst(group);
  REQUIRE(group.store(20));
  for (const char* address : {"a", "b", "c"}) {
    group.kill(address);
  }
  group.start("a", 11, false);
  group.start("b", 12, false);
  group.start("c", 13, false);
  CHECK(group.read() == "v20");
}

TEST_CASE("A replica that lost its disk rejoins and becomes a voter without an operator") {
  Group group;
  startFirst(group);
  group.kill("b");
  group.wipe("b");
  group.start("b", 99, false);
  REQUIRE(group.runUntil([&] { return group.at("b").stored().version() == 1; }));
  REQUIRE(group.store(2));
  // Without "a", a majority requires that the new identity of "b" is a voter.
  REQUIRE(group.runUntil([&] { return group.at("b").votes(); }));
  group.kill("a");
  CHECK(group.store(3));
  CHECK(group.read() == "v3");
}

// Lost disks would add up until the quorum is gone: an empty replica asks the seeds only.
TEST_CASE("Replicas that lost their disks one by one rejoin while the leader is no seed") {
  Group group;
  startFirst(group);
  group.kill("c");
  group.start("d", 44, false);
  REQUIRE(group.runUntil([&] { return group.at("d").votes(); }));
  group.start("c", 13, false);
  REQUIRE(group.runUntil([&] { return group.members().contains("c"); }));
  REQUIRE(group.runUntil([&] {
    for (const char* address : {"a", "b"}) {
      if (group.leaderAddress() == address) {
        group.at(address).handOverLeadership();
      }
    }
    return group.leaderAddress() == "d";
  }));
  uint64_t id = 200;
  for (const char* address : {"a", "b", "c"}) {
    group.kill(address);
    group.wipe(address);
    group.start(address, ++id, false);
    REQUIRE(group.runUntil([&] { return group.at(address).stored().version() == 1; }));
    REQUIRE(group.runUntil([&] {
      // Other members may lead meanwhile.
      GroupReplica* leader = group.leader();
      if (leader != nullptr && leader != &group.at("d") && group.at("d").votes()) {
        leader->handOverLeadership();
      }
      const bool former_gone = group.at("d").memberAddresses().size() == 4;
      return former_gone && group.at("d").voterCount() == 3 && group.leaderAddress() == "d";
    }));
  }
  CHECK(group.store(2));
}

TEST_CASE("An old join request takes no vote from a replica that answers") {
  Group group;
  startFirst(group);
  REQUIRE(group.leader() != nullptr);
  v1::JoinRequest old;
  old.set_id(99);
  old.set_address("b");
  for (int i = 0; i < 10; ++i) {
    for (const char* address : {"a", "b", "c"}) {
      group.at(address).joinReceived(old);
    }
    REQUIRE(group.store(static_cast<uint64_t>(i) + 2));
  }
  CHECK(group.at("b").votes());
  CHECK(group.leader()->voterCount() == 3);
  CHECK(group.leader()->memberAddresses().size() == 3);
}

TEST_CASE("A replica at a new address replaces a failed voter") {
  Group group;
  startFirst(group);
  group.kill("c");
  group.start("d", 44, false);
  REQUIRE(group.runUntil([&] { return group.members() == std::set<std::string>{"a", "b", "d"}; }));
  CHECK(group.store(5));
  REQUIRE(group.runUntil([&] { return group.at("d").stored().version() == 5; }));
}

TEST_CASE("A replica at a new address replaces no voter while all voters are alive") {
  Group group;
  startFirst(group);
  group.start("d", 44, false);
  REQUIRE(group.runUntil([&] { return group.at("d").stored().version() == 1; }));
  CHECK(group.store(2));
  for (const char* address : {"a", "b", "c"}) {
    CHECK(group.members().contains(address));
  }
}

TEST_CASE("Replicas beyond the initial three become voters, and five tolerate two failures") {
  Group group(5);
  startFirst(group);
  group.start("d", 44, true);
  group.start("e", 55, true);
  REQUIRE(group.runUntil([&] { return group.at("d").votes() && group.at("e").votes(); }));
  REQUIRE(group.store(2));
  for (const char* address : {"a", "b"}) {
    group.kill(address);
  }
  CHECK(group.store(3));
  CHECK(group.read() == "v3");
}

TEST_CASE("Acknowledged configurations survive a restart of five replicas, two with lost disks") {
  Group group(5);
  startFirst(group);
  group.start("d", 44, true);
  group.start("e", 55, true);
  REQUIRE(group.runUntil([&] { return group.at("d").votes() && group.at("e").votes(); }));
  REQUIRE(group.store(7));
  for (const char* address : {"a", "b", "c", "d", "e"}) {
    group.kill(address);
  }
  group.wipe("a");
  group.wipe("b");
  uint64_t id = 100;
  for (const char* address : {"a", "b", "c", "d", "e"}) {
    group.start(address, ++id, false);
  }
  CHECK(group.read() == "v7");
  CHECK(group.store(8));
}

TEST_CASE("A leader whose disk is full loses leadership and catches up once writes succeed") {
  Group group;
  startFirst(group);
  const std::string full = group.leaderAddress();
  REQUIRE_FALSE(full.empty());
  group.diskOf(full).full = true;
  REQUIRE(group.store(2));
  CHECK_FALSE(group.at(full).leads());
  const std::string leader = group.leaderAddress();
  CHECK(group.runUntil([&] { return group.at(full).leaderAddress() == leader; }));
  group.diskOf(full).full = false;
  REQUIRE(group.runUntil([&] { return group.at(full).stored().version() == 2; }));
}

TEST_CASE("A replica that starts on a full disk disturbs nobody, and catches up afterwards") {
  Group group;
  startFirst(group);
  const std::string leader = group.leaderAddress();
  const std::string full = leader == "a" ? "b" : "a";
  const uint64_t term = group.at(leader).term();
  group.kill(full);
  group.start(full, 11, false, true);
  REQUIRE(group.store(2));
  // More than an election timeout.
  group.runFor(std::chrono::milliseconds(400));
  CHECK(group.at(full).stored().version() < 2);
  CHECK_FALSE(group.at(full).leads());
  CHECK(group.at(full).stats().disk_failing);
  // Callers are referred to the leader all the same.
  CHECK(group.at(full).leaderAddress() == leader);
  CHECK(group.at(full).hintedLeaderAddress() == leader);
  CHECK(group.leaderAddress() == leader);
  CHECK(group.at(leader).term() == term);
  group.diskOf(full).full = false;
  REQUIRE(group.runUntil([&] { return group.at(full).stored().version() == 2; }));
  CHECK_FALSE(group.at(full).stats().disk_failing);
}

TEST_CASE("Replicas that start on full disks vote for nobody") {
  Group group;
  startFirst(group);
  for (const char* address : {"a", "b", "c"}) {
    group.kill(address);
  }
  group.start("a", 11, false, true);
  group.start("b", 12, false, true);
  group.start("c", 13, false);
  group.runFor(std::chrono::milliseconds(600));
  CHECK(group.leaderAddress().empty());
  group.diskOf("a").full = false;
  CHECK(group.read() == "v1");
  CHECK(group.store(2));
}

TEST_CASE("A replica that lost its disk does not join while the new one is full") {
  Group group;
  startFirst(group);
  group.kill("b");
  group.wipe("b");
  REQUIRE(group.store(2));
  group.start("b", 99, false, true);
  group.runFor(std::chrono::milliseconds(600));
  REQUIRE(group.leader() != nullptr);
  CHECK(group.leader()->stats().membership_changes == 0);
  group.diskOf("b").full = false;
  CHECK(group.runUntil([&] { return group.at("b").votes(); }));
}

TEST_CASE("Evacuations survive a restart of all replicas and a lost disk") {
  using Zones = std::vector<std::string>;
  Group group;
  startFirst(group);
  // More orders than log entries between two snapshots.
  for (int i = 0; i < 6; ++i) {
    REQUIRE(group.order("south", i % 2 == 0));
  }
  REQUIRE(group.order("north", true));
  for (const char* address : {"a", "b", "c"}) {
    group.kill(address);
  }
  group.wipe("b");
  group.start("a", 11, false);
  group.start("b", 98, false);
  group.start("c", 13, false);
  CHECK(group.evacuated() == Zones{"north"});
  REQUIRE(group.runUntil([&] { return group.at("b").evacuations().zones_size() == 1; }));
  // The replica that lost its disk must be a voter again, so that it forms a majority with "c".
  REQUIRE(group.runUntil([&] { return group.at("b").votes(); }));
  REQUIRE(group.order("west", true));
  group.kill("a");
  CHECK(group.evacuated() == Zones{"north", "west"});
  REQUIRE(group.order("north", false));
  CHECK(group.order("north", false));
  CHECK(group.evacuated() == Zones{"west"});
  CHECK(group.read() == "v1");
}

TEST_CASE("An order at a leader without a majority is not acknowledged and is overwritten") {
  Group group;
  startFirst(group);
  const std::string cut = group.leaderAddress();
  std::vector<CallOutcome<StoreOutcome>> outcomes;
  const v1::GroupCommand order = evacuationOrder("north", true);
  group.cutOff(cut, true);
  group.at(cut).order(order, [&](const auto& outcome) { outcomes.push_back(outcome); });
  REQUIRE(group.runUntil([&] { return group.leader() != nullptr && !group.at(cut).leads(); }));
  REQUIRE(group.order("south", true));
  CHECK(std::count(outcomes.begin(), outcomes.end(), kStored) == 0);
  group.cutOff(cut, false);
  REQUIRE(group.runUntil([&] { return group.at(cut).evacuations().zones_size() == 1; }));
  CHECK(relay::evacuatedZoneNames(group.at(cut).evacuations()) ==
        std::vector<std::string>{"south"});
  REQUIRE(outcomes.size() == 1);
  CHECK(outcomes.front() == kNotLeader);
}

TEST_CASE("A suspended leader accepts no order and confirms no read until a majority answers") {
  Group group;
  startFirst(group);
  const std::string leading = group.leaderAddress();
  // Longer than an election, so that the others may have elected another leader.
  group.cutOff(leading, true);
  group.sleep(leading, 3000);
  CHECK_FALSE(group.at(leading).leads());
  std::vector<CallOutcome<StoreOutcome>> outcomes;
  const v1::GroupCommand order = evacuationOrder("north", true);
  group.at(leading).order(order, [&](const auto& outcome) { outcomes.push_back(outcome); });
  CHECK(outcomes == std::vector<CallOutcome<StoreOutcome>>{kNotLeader});
  bool confirmed = false;
  using Read = CallOutcome<const v1::StoredConfiguration*>;
  group.at(leading).read([&](const Read& read) { confirmed = read != kNothingRead; });
  REQUIRE(group.runUntil([&] {
    GroupReplica* other = group.leader();
    return other != nullptr && other != &group.at(leading);
  }));
  CHECK_FALSE(confirmed);
  group.cutOff(leading, false);
  REQUIRE(group.order("south", true));
  REQUIRE(group.runUntil([&] { return group.at(leading).evacuations().zones_size() == 1; }));
}

TEST_CASE("A follower that was suspended catches up") {
  Group group;
  startFirst(group);
  std::string suspended;
  for (const char* address : {"a", "b", "c"}) {
    suspended = group.at(address).leads() ? suspended : address;
  }
  group.sleep(suspended, 3000);
  REQUIRE(group.order("south", true));
  REQUIRE(group.runUntil([&] { return group.at(suspended).evacuations().zones_size() == 1; }));
}

TEST_CASE("A stopping replica refuses open calls and later ones") {
  Group group;
  startFirst(group);
  const std::string leading = group.leaderAddress();
  // Without a majority, the calls stay open.
  group.cutOff(leading, true);
  GroupReplica& replica = group.at(leading);
  const CallOutcome<StoreOutcome> refused = daemon::Unavailable{};
  std::vector<CallOutcome<StoreOutcome>> outcomes;
  const v1::GroupCommand order = evacuationOrder("north", true);
  replica.order(order, [&](const auto& outcome) { outcomes.push_back(outcome); });
  int reads_refused = 0;
  const auto count_refusal = [&](const CallOutcome<const v1::StoredConfiguration*>& read) {
    reads_refused += std::holds_alternative<daemon::Unavailable>(read) ? 1 : 0;
  };
  replica.read(count_refusal);
  REQUIRE(outcomes.empty());
  REQUIRE(reads_refused == 0);

  replica.end();
  CHECK(outcomes == std::vector<CallOutcome<StoreOutcome>>{refused});
  CHECK(reads_refused == 1);
  replica.order(order, [&](const auto& outcome) { outcomes.push_back(outcome); });
  replica.read(count_refusal);
  CHECK(outcomes == std::vector<CallOutcome<StoreOutcome>>{refused, refused});
  CHECK(reads_refused == 2);
  const daemon::CallCounts counts = replica.callCounts();
  CHECK(counts.accepted == counts.answered + counts.refused);
}

// Guards against a replica that ends at each start by an unreadable snapshot on its disk.
TEST_CASE("A snapshot that cannot be restored is neither stored nor ends the replica") {
  Group group;
  startFirst(group);
  const std::string leader = group.leaderAddress();
  const std::string follower = leader == "a" ? "b" : "a";
  v1::RaftBatch batch;
  batch.set_sender_address(leader);
  v1::RaftMessage* message = batch.add_messages();
  message->set_type(v1::RAFT_INSTALL_SNAPSHOT);
  message->set_from(group.at(leader).id());
  message->set_to(group.at(follower).id());
  message->set_term(group.at(leader).term());
  message->mutable_snapshot()->set_index(1000);
  message->mutable_snapshot()->set_term(group.at(leader).term());
  message->mutable_snapshot()->set_state("\xff\xff no message");
  group.at(follower).deliver(batch);
  REQUIRE(group.store(2));
  CHECK(group.runUntil([&] { return group.at(follower).stored().version() == 2; }));
}

} // namespace workshatch::test

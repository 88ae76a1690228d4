/// @file
/// Tests of how replicas, relays and machines without a replica find the group, whatever their
/// settings name as seeds.
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "unit/daemon/group/group_fixture.h"

namespace workshatch::test {

namespace {

/// Time after its start within which a machine must take part.
constexpr int64_t kCatchUpMs = 6000;

/// Three machines without a replica, which are the only seeds.
void seedMachinesWithoutReplica(Group& group) {
  group.setSeeds({"r1", "r2", "r3"});
  for (const char* address : {"r1", "r2", "r3"}) {
    group.startWithoutReplica(address);
  }
}

/// @return where the machine without a replica sends a relay that renews; empty if it knows none.
std::string leaderToldBy(Group& group, const std::string& address) {
  return group.searchAt(address).renewalReceived(v1::LeaseRenewal()).leader_address();
}

/// Sends nothing.
class NoTransport : public ReplicaTransport {
public:
  void send(const std::string&, v1::RaftMessage) override {}
};

} // namespace

TEST_CASE("A replica whose seeds hold no replica joins") {
  Group group;
  startFirst(group);
  seedMachinesWithoutReplica(group);
  group.kill("c");
  const int64_t started_ms = group.clock().monotonicMs();
  group.start("d", 44, false);
  REQUIRE(group.runUntil([&] { return group.at("d").votes(); }));
  CHECK(group.clock().monotonicMs() - started_ms <= kCatchUpMs);
  CHECK(group.store(2));
}

TEST_CASE("Relays find the group after all processes were killed and their seeds hold no replica") {
  Group group;
  startFirst(group);
  for (const char* address : {"a", "b", "c"}) {
    group.kill(address);
  }
  seedMachinesWithoutReplica(group);
  const int64_t started_ms = group.clock().monotonicMs();
  startFirst(group);
  for (const char* address : {"r1", "r2", "r3"}) {
    CHECK(group.runUntil([&] {
      const std::string told = leaderToldBy(group, address);
      return !told.empty() && told == group.leaderAddress();
    }));
  }
  CHECK(group.clock().monotonicMs() - started_ms <= kCatchUpMs);
}

TEST_CASE("Two replicas that lost their disks rejoin though their seeds are themselves and a "
          "machine that is gone") {
  Group group(5);
  startFirst(group);
  group.start("d", 44, false);
  group.start("e", 55, false);
  REQUIRE(group.runUntil([&] { return group.at("d").votes() && group.at("e").votes(); }));
  REQUIRE(group.store(2));
  for (const char* address : {"a", "d"}) {
    group.kill(address);
    group.wipe(address);
  }
  group.setSeeds({"a", "d", "gone"});
  const int64_t started_ms = group.clock().monotonicMs();
  group.start("a", 101, false);
  group.start("d", 104, false);
  REQUIRE(group.runUntil([&] { return group.at("a").votes() && group.at("d").votes(); }));
  CHECK(group.clock().monotonicMs() - started_ms <= kCatchUpMs);
  CHECK(group.store(3));
}

TEST_CASE("A replica outside the group joins by what a relay knew, and tells relays the leader") {
  Group group;
  startFirst(group);
  group.setSeeds({"gone"});
  group.start("d", 44, false);
  group.runFor(std::chrono::milliseconds(100));
  CHECK(group.at("d").makeNotice().members().empty());
  group.at("d").contactsTold({"gone-too", "a"});
  REQUIRE(group.runUntil([&] { return group.members().contains("d"); }));
  CHECK(group.runUntil([&] {
    const std::string leader = group.leaderAddress();
    return !leader.empty() && group.at("d").makeNotice().leader_address() == leader;
  }));
}

TEST_CASE("A replica that lost its disk does not vote under its former identity") {
  Group group;
  startFirst(group);
  for (const char* address : {"a", "b", "c"}) {
    group.kill(address);
  }
  group.wipe("b");
  group.wipe("c");
  group.start("a", 11, false);
  group.start("b", 102, false);
  group.start("c", 103, false);
  group.runFor(std::chrono::milliseconds(1500));
  CHECK(group.leader() == nullptr);
  for (const char* address : {"b", "c"}) {
    CHECK(group.at(address).term() == 0);
    CHECK_FALSE(group.at(address).votes());
  }
}

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
  CHECK(group.runUntil([&] { return group.at("d").makeNotice().leader_address().empty(); }));
}

TEST_CASE("A member whose disk refuses writes claims membership or names a leader that is gone") {
  Group group;
  startFirst(group);
  const std::string leader = group.leaderAddress();
  const std::string follower = leader == "a" ? "b" : "a";
  group.diskOf(follower).full = true;
  REQUIRE(group.store(2));
  GroupReplica& full = group.at(follower);
  // The leader that it hears is named, and no other.
  CHECK(group.runUntil([&] { return full.hintedLeaderAddress() == leader; }));
  v1::MembersNotice told = full.makeNotice();
  CHECK_FALSE(told.sender_is_member());
  CHECK(told.leader_address() == leader);
  CHECK(told.members_size() == 3);
  for (const char* address : {"a", "b", "c"}) {
    if (address != follower) {
      group.kill(address);
    }
  }
  CHECK(group.runUntil([&] { return full.hintedLeaderAddress().empty(); }));
  told = full.makeNotice();
  CHECK_FALSE(told.sender_is_member());
  CHECK(told.leader_address().empty());
}

TEST_CASE("A voter during an election names no leader that others told it") {
  Group group;
  startFirst(group);
  group.kill("b");
  group.kill("c");
  REQUIRE(group.runUntil([&] { return !group.at("a").knowsLeader(); }));
  v1::MembersNotice notice;
  notice.set_leader_address("b");
  group.at("a").noticeReceived(notice);
  CHECK(group.at("a").hintedLeaderAddress().empty());
  CHECK(group.at("a").makeNotice().leader_address().empty());
  CHECK(group.at("a").makeNotice().sender_is_member());
}

TEST_CASE("A removed replica that is back with its old disk does not speak for the group") {
  Group group;
  startFirst(group);
  group.kill("c");
  group.start("d", 44, false);
  REQUIRE(group.runUntil([&] { return group.at("d").votes(); }));
  group.setSeeds({"gone"});
  group.cutOff("c", true);
  group.start("c", 13, false);
  CHECK_FALSE(group.at("c").makeNotice().sender_is_member());
  CHECK(group.at("c").makeNotice().members_size() == 3);
}

TEST_CASE("Two replicas outside any group that tell each other many addresses ask at a bounded "
          "rate") {
  boost::asio::io_context context;
  const SystemClock clock;
  SeededRandom random(7);
  NoTransport transport;
  std::map<std::string, int> asked;
  std::map<std::string, std::unique_ptr<MemoryStore>> disks;
  std::map<std::string, std::unique_ptr<GroupReplica>> replicas;
  for (const std::string own : {"x", "y"}) {
    GroupOptions options;
    options.own_address = own;
    options.seeds = {own == "x" ? "y" : "x"};
    disks[own] = std::make_unique<MemoryStore>(own == "x" ? 1 : 2);
    replicas[own] =
        std::make_unique<GroupReplica>(context, options, *disks[own], clock, random, transport);
    replicas[own]->setJoinSender([&](const std::string& to, const v1::JoinRequest& join) {
      ++asked[to];
      boost::asio::post(context, [&replicas, to, join] {
        if (replicas.contains(to)) {
          replicas[to]->joinReceived(join);
        }
      });
    });
    replicas[own]->setNoticeSender([&](const std::string& to, const v1::MembersNotice& notice) {
      boost::asio::post(context, [&replicas, to, notice] { replicas[to]->noticeReceived(notice); });
    });
    REQUIRE_FALSE(isError(replicas[own]->start()));
    std::vector<std::string> told;
    for (int i = 0; i < 8; ++i) {
      told.push_back(own + std::to_string(i));
    }
    replicas[own]->contactsTold(told);
  }
  context.run_for(std::chrono::seconds(1));
  for (const auto& entry : asked) {
    CAPTURE(entry.first);
    // Both ask the other addresses.
    CHECK(entry.second <= 22);
  }
}

TEST_CASE("A machine without a replica asks all members each second") {
  constexpr int64_t kSeconds = 10;
  constexpr size_t kMaxQuestionBytes = 32;
  SuspendableClock clock;
  std::vector<std::string> asked;
  daemon::MemberSearch search(clock, "10.0.0.9:7000", {"a", "b", "c"},
                              [&](const std::string& address, const v1::MembersNotice& question) {
                                asked.push_back(address);
                                CHECK(question.ByteSizeLong() <= kMaxQuestionBytes);
                              });
  for (int64_t ms = 0; ms < kSeconds * 1000; ms += daemon::MemberSearch::kPollPeriodMs) {
    v1::MembersNotice notice;
    notice.set_sender_is_member(true);
    notice.set_leader_address("a");
    for (const char* member : {"a", "b", "c", "d", "e"}) {
      notice.add_members(member);
    }
    search.noticeReceived(notice);
    search.poll();
    clock.sleepFor(daemon::MemberSearch::kPollPeriodMs);
  }
  CHECK(asked.size() <= kSeconds + 1);
  CHECK(std::set<std::string>(asked.begin(), asked.end()).size() == 5);
}

} // namespace workshatch::test

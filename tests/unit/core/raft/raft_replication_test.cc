/// @file
/// Tests of elections after restarts, and of appends and heartbeats while earlier messages are in
/// flight or lost.
#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

#include <doctest/doctest.h>

#include "core/raft/raft_node.h"
#include "ports/seeded_random.h"

namespace workshatch::test {

namespace {

/// Three nodes whose writes are durable at once. Messages are kept until a test delivers them.
class ThreeNodes {
public:
  explicit ThreeNodes(raft::RaftOptions options = {}) {
    for (const uint64_t id : {1, 2, 3}) {
      raft::RaftRecovery recovery;
      v1::RaftSnapshot first;
      first.set_index(1);
      first.set_term(1);
      for (const uint64_t member : {1, 2, 3}) {
        first.mutable_membership()->add_members()->set_id(member);
      }
      recovery.hard_state.set_term(1);
      recovery.log.restore(first);
      nodes_[id] = std::make_unique<raft::RaftNode>(id, options, random_, std::move(recovery));
    }
  }

  /// Restarts a node as after a kill: its written state is kept.
  void restart(uint64_t id, raft::RaftOptions options) {
    raft::RaftRecovery recovery;
    recovery.hard_state = at(id).hardState();
    recovery.log = at(id).log();
    nodes_[id] = std::make_unique<raft::RaftNode>(id, options, random_, std::move(recovery));
  }

  raft::RaftNode& at(uint64_t id) { return *nodes_.at(id); }

  /// Advances time until a node is elected. @return the leader.
  raft::RaftNode& elect() {
    while (true) {
      ++ticks_;
      for (auto& [id, node] : nodes_) {
        node->tick();
        deliverAll();
        if (node->isLeader()) {
          return *node;
        }
      }
    }
  }

  /// Number of ticks by which `elect` advanced time.
  int ticks() const { return ticks_; }

  /// Takes the messages that node `id` has to send, and reports its writes as durable.
  std::vector<v1::RaftMessage> takeMessages(uint64_t id) {
    raft::RaftReady ready = at(id).takeReady();
    at(id).persisted();
    return std::move(ready.messages);
  }

  void deliver(const std::vector<v1::RaftMessage>& messages) {
    for (const v1::RaftMessage& message : messages) {
      at(message.to()).step(message);
    }
  }

  void deliverAll() {
    for (bool moved = true; moved;) {
      moved = false;
      for (const uint64_t id : {1, 2, 3}) {
        const std::vector<v1::RaftMessage> messages = takeMessages(id);
        moved = moved || !messages.empty();
        deliver(messages);
      }
    }
  }

private:
  int ticks_ = 0;
  SeededRandom random_{5};
  std::map<uint64_t, std::unique_ptr<raft::RaftNode>> nodes_;
};

size_t entriesIn(const std::vector<v1::RaftMessage>& messages) {
  size_t entries = 0;
  for (const v1::RaftMessage& message : messages) {
    entries += static_cast<size_t>(message.entries_size());
  }
  return entries;
}

} // namespace

TEST_CASE("after a restart of all replicas an early election happens only without leader leases") {
  raft::RaftOptions options;
  options.first_election_ticks = 4;
  SUBCASE("leader leases are not used") {
    options.withhold_votes_after_restart = false;
    ThreeNodes group(options);
    group.elect();
    CHECK(group.ticks() <= 4);
  }
  SUBCASE("leader leases are used") {
    ThreeNodes group(options);
    group.elect();
    CHECK(group.ticks() >= static_cast<int>(options.election_ticks));
  }
}

TEST_CASE("a replica that restarts does not unseat an active leader") {
  raft::RaftOptions options;
  options.first_election_ticks = 4;
  options.withhold_votes_after_restart = false;
  ThreeNodes group(options);
  raft::RaftNode& leader = group.elect();
  const uint64_t term = leader.term();
  const uint64_t other = leader.id() == 1 ? 2 : 1;
  group.restart(other, options);
  // Its first election starts before it receives a message from the leader.
  for (int i = 0; i < 4; ++i) {
    group.at(other).tick();
  }
  group.deliverAll();
  CHECK(leader.isLeader());
  CHECK(leader.term() == term);
  leader.tick();
  group.deliverAll();
  CHECK(group.at(other).leader() == leader.id());
}

TEST_CASE("heartbeats do not carry entries that are still in flight") {
  ThreeNodes group;
  raft::RaftNode& leader = group.elect();
  REQUIRE(leader.propose("a large command"));
  const std::vector<v1::RaftMessage> appends = group.takeMessages(leader.id());
  CHECK(entriesIn(appends) == 2);
  std::vector<v1::RaftMessage> heartbeats;
  for (int i = 0; i < 5; ++i) {
    leader.tick();
    const std::vector<v1::RaftMessage> more = group.takeMessages(leader.id());
    heartbeats.insert(heartbeats.end(), more.begin(), more.end());
  }
  CHECK(heartbeats.size() == 10);
  CHECK(entriesIn(heartbeats) == 0);
  // All messages arrive late, but in order.
  const uint64_t committed_before = leader.commitIndex();
  group.deliver(appends);
  group.deliver(heartbeats);
  group.deliverAll();
  CHECK(leader.commitIndex() == committed_before + 1);
}

TEST_CASE("lost entries are sent again after the next heartbeat") {
  ThreeNodes group;
  raft::RaftNode& leader = group.elect();
  REQUIRE(leader.propose("lost on its way"));
  group.takeMessages(leader.id());
  const uint64_t committed_before = leader.commitIndex();
  leader.tick();
  group.deliverAll();
  CHECK(leader.commitIndex() == committed_before + 1);
  for (const uint64_t id : {1, 2, 3}) {
    CHECK(group.at(id).log().lastIndex() == leader.log().lastIndex());
  }
}

// Entries out of order from another process must not end the replica.
TEST_CASE("an append whose entries do not follow one another is ignored") {
  ThreeNodes group;
  raft::RaftNode& leader = group.elect();
  raft::RaftNode& follower = group.at(leader.id() == 1 ? 2 : 1);
  const uint64_t last = follower.log().lastIndex();
  v1::RaftMessage append;
  append.set_type(v1::RAFT_APPEND);
  append.set_from(leader.id());
  append.set_to(follower.id());
  append.set_term(leader.term());
  append.set_log_index(last);
  append.set_log_term(follower.log().termAt(last));
  v1::RaftEntry* entry = append.add_entries();
  entry->set_term(leader.term());
  SUBCASE("an entry is missing") { entry->set_index(last + 2); }
  SUBCASE("it would replace a committed entry") { entry->set_index(1); }
  CHECK_FALSE(follower.step(append));
  CHECK(follower.log().lastIndex() == last);
  REQUIRE(leader.propose("after it"));
  group.deliverAll();
  CHECK(follower.log().lastIndex() == last + 1);
}

TEST_CASE("a leader goes on without committed entries that a follower holds") {
  ThreeNodes group;
  raft::RaftNode& leader = group.elect();
  v1::RaftMessage reply;
  reply.set_type(v1::RAFT_APPEND_REPLY);
  reply.set_from(leader.id() == 1 ? 2 : 1);
  reply.set_to(leader.id());
  reply.set_term(leader.term());
  reply.set_match_index(leader.log().lastIndex() + 5);
  const pid_t child = ::fork();
  if (child == 0) {
    std::signal(SIGABRT, SIG_DFL);
    leader.step(reply);
    leader.propose("in place of a committed entry");
    leader.tick();
    std::_Exit(0);
  }
  int status = 0;
  REQUIRE(::waitpid(child, &status, 0) == child);
  CHECK(WIFSIGNALED(status));
  CHECK(WTERMSIG(status) == SIGABRT);
}

} // namespace workshatch::test

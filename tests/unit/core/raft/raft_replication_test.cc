/// @file
/// What a leader sends to followers whose answers are still on their way.
#include <map>
#include <memory>
#include <vector>

#include <doctest/doctest.h>

#include "core/raft/raft_node.h"
#include "ports/seeded_random.h"

namespace workshatch::test {

namespace {

/// Three nodes whose writes are durable at once; messages are kept until a test delivers them.
class ThreeNodes {
public:
  ThreeNodes() {
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
      nodes_[id] =
          std::make_unique<raft::RaftNode>(id, raft::RaftOptions{}, random_, std::move(recovery));
    }
  }

  raft::RaftNode& at(uint64_t id) { return *nodes_.at(id); }

  /// Lets time pass until one leads. @return the leader.
  raft::RaftNode& elect() {
    while (true) {
      for (auto& [id, node] : nodes_) {
        node->tick();
        deliverAll();
        if (node->isLeader()) {
          return *node;
        }
      }
    }
  }

  /// What node `id` wants sent.
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

TEST_CASE("heartbeats do not carry entries that are still on their way") {
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
  // All arrive late, in order.
  const uint64_t committed_before = leader.commitIndex();
  group.deliver(appends);
  group.deliver(heartbeats);
  group.deliverAll();
  CHECK(leader.commitIndex() == committed_before + 1);
}

TEST_CASE("entries that were lost are sent again after the next heartbeat") {
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

} // namespace workshatch::test

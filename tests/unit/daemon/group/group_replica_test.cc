/// @file
/// The group of replicas: forming, storing and reading, a lost disk, a lost machine.
#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include "adapters/link/framed_link.h"
#include "adapters/system_clock.h"
#include "daemon/group/group_replica.h"
#include "daemon/group/relay_hub.h"
#include "ports/seeded_random.h"
#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

namespace {

using daemon::GroupOptions;
using daemon::GroupReplica;
using daemon::StoreOutcome;

/// A disk in memory that outlives its replica.
class MemoryStore : public LogStore {
public:
  explicit MemoryStore(uint64_t id) : id_(id) {}

  Result<StoredReplica> load() override {
    StoredReplica stored;
    stored.id = id_;
    stored.recovery.hard_state = hard_state_;
    stored.recovery.log = log_;
    return stored;
  }
  Result<std::monostate> write(const raft::RaftReady& ready) override {
    if (full) {
      return Error{"no space left"};
    }
    if (ready.snapshot) {
      log_.restore(*ready.snapshot);
    }
    if (ready.truncate_from != 0) {
      log_.truncateFrom(ready.truncate_from);
    }
    for (const v1::RaftEntry& entry : ready.entries) {
      log_.append(entry);
    }
    if (ready.hard_state) {
      hard_state_ = *ready.hard_state;
    }
    return std::monostate{};
  }
  Result<std::monostate> compact(const raft::RaftLog& log, const v1::RaftHardState&) override {
    log_ = log;
    return std::monostate{};
  }

  bool full = false;

private:
  uint64_t id_;
  raft::RaftLog log_;
  v1::RaftHardState hard_state_;
};

/// Replicas on one event loop; messages to machines that are down are lost.
class Group {
public:
  /// @param voters as many as the group grows to
  explicit Group(size_t voters = 3) : voters_(voters) {}

  struct Machine {
    /// Time of the machine, which may sleep.
    SleepingClock clock;
    std::unique_ptr<MemoryStore> disk;
    std::unique_ptr<GroupReplica> replica;
  };

  void start(const std::string& address, uint64_t id, bool first_start) {
    Machine& machine = machines_[address];
    if (!machine.disk) {
      machine.disk = std::make_unique<MemoryStore>(id);
    }
    GroupOptions options;
    options.own_address = address;
    options.seeds = {"a", "b", "c"};
    options.first_start = first_start;
    options.voters = voters_;
    options.tick_ms = 10;
    options.gone_ms = 200;
    options.snapshot_entries = 4;
    machine.replica = std::make_unique<GroupReplica>(context_, options, *machine.disk,
                                                     machine.clock, random_, transportOf(address));
    machine.replica->onHelloWanted([this](const std::string& to, const v1::ReplicaHello& hello) {
      deliver(to, [hello](GroupReplica& replica) { replica.helloReceived(hello); });
    });
    machine.replica->onJoinWanted([this](const std::string& to, const v1::JoinRequest& join) {
      deliver(to, [join](GroupReplica& replica) { replica.joinReceived(join); });
    });
    REQUIRE_FALSE(isError(machine.replica->start()));
  }
  /// The machine sleeps: its process and its timers stand still.
  void sleep(const std::string& address, int64_t milliseconds) {
    machines_.at(address).clock.sleepFor(milliseconds);
  }
  /// Ends the process; its timers and messages end with it.
  void kill(const std::string& address) { machines_.at(address).replica.reset(); }
  /// Loses all messages to and from a machine.
  void cutOff(const std::string& address, bool cut) {
    if (cut) {
      cut_off_.insert(address);
    } else {
      cut_off_.erase(address);
    }
  }
  void wipe(const std::string& address) { machines_.at(address).disk.reset(); }

  bool runUntil(const std::function<bool()>& condition) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition() && std::chrono::steady_clock::now() < limit) {
      context_.run_one_for(std::chrono::milliseconds(20));
    }
    return condition();
  }
  GroupReplica* leader() {
    for (auto& [address, machine] : machines_) {
      if (machine.replica && machine.replica->leads()) {
        return machine.replica.get();
      }
    }
    return nullptr;
  }
  /// Stores through whoever leads, again until it is acknowledged.
  bool store(uint64_t version) {
    bool stored = false;
    bool asked = false;
    return runUntil([&] {
      GroupReplica* leading = stored || asked ? nullptr : leader();
      if (leading != nullptr) {
        asked = true;
        v1::StoredConfiguration configuration;
        configuration.set_version(version);
        configuration.set_compressed_document("v" + std::to_string(version));
        leading->store(configuration, [&](StoreOutcome outcome) {
          stored = outcome == StoreOutcome::Stored;
          asked = false;
        });
      }
      return stored;
    });
  }
  /// Orders through whoever leads, again until it is acknowledged.
  bool order(const std::string& zone, bool begin) {
    bool stored = false;
    bool asked = false;
    return runUntil([&] {
      GroupReplica* leading = stored || asked ? nullptr : leader();
      if (leading != nullptr) {
        asked = true;
        v1::GroupCommand command;
        command.mutable_evacuation()->set_zone(zone);
        command.mutable_evacuation()->set_begin(begin);
        leading->order(command, [&](StoreOutcome outcome) {
          stored = outcome == StoreOutcome::Stored;
          asked = false;
        });
      }
      return stored;
    });
  }
  /// @return the zones that the leader holds for evacuated, confirmed by a majority.
  std::vector<std::string> evacuated() {
    REQUIRE(read().size() > 0);
    GroupReplica* leading = leader();
    REQUIRE(leading != nullptr);
    return relay::zoneNames(leading->evacuations());
  }
  std::string read() {
    std::string document;
    bool asked = false;
    runUntil([&] {
      GroupReplica* leading = asked || !document.empty() ? nullptr : leader();
      if (leading != nullptr) {
        asked = true;
        leading->read([&](const v1::StoredConfiguration* stored) {
          document = stored == nullptr ? "" : stored->compressed_document();
          asked = false;
        });
      }
      return !document.empty();
    });
    return document;
  }
  GroupReplica& at(const std::string& address) { return *machines_.at(address).replica; }
  boost::asio::io_context& context() { return context_; }
  const Clock& clock() const { return clock_; }
  MemoryStore& diskOf(const std::string& address) { return *machines_.at(address).disk; }
  std::set<std::string> members() {
    GroupReplica* leading = leader();
    const auto addresses =
        leading == nullptr ? std::vector<std::string>() : leading->memberAddresses();
    return {addresses.begin(), addresses.end()};
  }

private:
  class Transport : public ReplicaTransport {
  public:
    Transport(Group& group, std::string own) : group_(group), own_(std::move(own)) {}
    void send(const std::string& address, v1::RaftMessage message) override {
      if (group_.cut_off_.contains(own_) || group_.cut_off_.contains(address)) {
        return;
      }
      v1::RaftBatch batch;
      batch.set_sender_address(own_);
      *batch.add_messages() = std::move(message);
      group_.deliver(address, [batch](GroupReplica& replica) { replica.deliver(batch); });
    }

  private:
    Group& group_;
    const std::string own_;
  };

  Transport& transportOf(const std::string& address) {
    auto& transport = transports_[address];
    if (!transport) {
      transport = std::make_unique<Transport>(*this, address);
    }
    return *transport;
  }
  void deliver(const std::string& to, std::function<void(GroupReplica&)> call) {
    boost::asio::post(context_, [this, to, call = std::move(call)] {
      const auto found = machines_.find(to);
      if (found != machines_.end() && found->second.replica) {
        call(*found->second.replica);
      }
    });
  }

  const size_t voters_;
  boost::asio::io_context context_;
  const SystemClock clock_{};
  SeededRandom random_{7};
  std::map<std::string, std::unique_ptr<Transport>> transports_;
  std::map<std::string, Machine> machines_;
  std::set<std::string> cut_off_;
};

void startFirst(Group& group) {
  group.start("a", 11, true);
  group.start("b", 12, true);
  group.start("c", 13, true);
  REQUIRE(group.store(1));
}

} // namespace

TEST_CASE("Three first replicas form a group that stores, reads and keeps the highest version") {
  Group group;
  startFirst(group);
  CHECK(group.members() == std::set<std::string>{"a", "b", "c"});
  CHECK(group.store(9));
  CHECK(group.store(4));
  CHECK(group.read() == "v9");
}

TEST_CASE("All replicas killed at once come back with what was acknowledged") {
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

TEST_CASE("A replica whose disk is lost takes its own place again by itself") {
  Group group;
  startFirst(group);
  group.kill("b");
  group.wipe("b");
  group.start("b", 99, false);
  REQUIRE(group.runUntil([&] { return group.at("b").stored().version() == 1; }));
  REQUIRE(group.store(2));
  // Only with the new identity as a voter is there a majority without "a".
  REQUIRE(group.runUntil([&] { return group.at("b").votes(); }));
  group.kill("a");
  CHECK(group.store(3));
  CHECK(group.read() == "v3");
}

TEST_CASE("A replica at a new address replaces the one that is gone") {
  Group group;
  startFirst(group);
  group.kill("c");
  group.start("d", 44, false);
  REQUIRE(group.runUntil([&] { return group.members() == std::set<std::string>{"a", "b", "d"}; }));
  CHECK(group.store(5));
  REQUIRE(group.runUntil([&] { return group.at("d").stored().version() == 5; }));
}

TEST_CASE("A replica at a new address takes nobody's place while all are there") {
  Group group;
  startFirst(group);
  group.start("d", 44, false);
  REQUIRE(group.runUntil([&] { return group.at("d").stored().version() == 1; }));
  CHECK(group.store(2));
  for (const char* address : {"a", "b", "c"}) {
    CHECK(group.members().contains(address));
  }
}

TEST_CASE("Replicas beyond the first three become voters, and two of five may be lost") {
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

TEST_CASE("Two of five lose their disks while the others lose power: what was acknowledged stays") {
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

TEST_CASE("A leader whose disk is full gives its place to another, and comes back") {
  Group group;
  startFirst(group);
  std::string full;
  for (const char* address : {"a", "b", "c"}) {
    if (group.at(address).leads()) {
      full = address;
    }
  }
  REQUIRE_FALSE(full.empty());
  group.diskOf(full).full = true;
  REQUIRE(group.store(2));
  CHECK_FALSE(group.at(full).leads());
  group.diskOf(full).full = false;
  REQUIRE(group.runUntil([&] { return group.at(full).stored().version() == 2; }));
}

TEST_CASE("Evacuations survive the loss of all processes and of a disk right after the answer") {
  using Zones = std::vector<std::string>;
  Group group;
  startFirst(group);
  // More orders than entries between two snapshots.
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
  // The replica that lost its disk is a voter again: it and one other are a majority.
  REQUIRE(group.runUntil([&] { return group.at("b").votes(); }));
  REQUIRE(group.order("west", true));
  group.kill("a");
  CHECK(group.evacuated() == Zones{"north", "west"});
  REQUIRE(group.order("north", false));
  CHECK(group.order("north", false));
  CHECK(group.evacuated() == Zones{"west"});
  CHECK(group.read() == "v1");
}

TEST_CASE(
    "An order of a leader without a majority is not acknowledged, and gives way to the others'") {
  Group group;
  startFirst(group);
  std::string cut;
  for (const char* address : {"a", "b", "c"}) {
    cut = group.at(address).leads() ? address : cut;
  }
  std::vector<StoreOutcome> outcomes;
  v1::GroupCommand order;
  order.mutable_evacuation()->set_zone("north");
  order.mutable_evacuation()->set_begin(true);
  group.cutOff(cut, true);
  group.at(cut).order(order, [&](StoreOutcome outcome) { outcomes.push_back(outcome); });
  REQUIRE(group.runUntil([&] { return group.leader() != nullptr && !group.at(cut).leads(); }));
  REQUIRE(group.order("south", true));
  CHECK(std::count(outcomes.begin(), outcomes.end(), StoreOutcome::Stored) == 0);
  group.cutOff(cut, false);
  REQUIRE(group.runUntil([&] { return group.at(cut).evacuations().zones_size() == 1; }));
  CHECK(relay::zoneNames(group.at(cut).evacuations()) == std::vector<std::string>{"south"});
  REQUIRE(outcomes.size() == 1);
  CHECK(outcomes.front() == StoreOutcome::NotLeader);
}

TEST_CASE("A renewal is confirmed by a majority that answers after it, not by an earlier lease") {
  Group group;
  startFirst(group);
  std::string leading = "a";
  for (const char* address : {"a", "b", "c"}) {
    leading = group.at(address).leads() ? address : leading;
  }
  constexpr double kLinkMbps = 100;
  daemon::RelayHub hub(group.context(), group.at(leading), group.clock(), kLinkMbps);
  link::LinkListener listener(group.context());
  std::vector<std::shared_ptr<link::FramedLink>> links;
  constexpr const char* kAddress = "127.0.0.1:18261";
  REQUIRE_FALSE(isError(listener.listen(kAddress, [&](std::shared_ptr<link::FramedLink> link) {
    links.push_back(link);
    link->start(
        [&hub, weak = std::weak_ptr(link)](const v1::Frame& frame) {
          if (const auto from = weak.lock()) {
            hub.renewed(from, frame.renewal());
          }
        },
        [] {});
  })));
  std::shared_ptr<link::FramedLink> relay;
  std::vector<v1::LeaseReply> replies;
  link::LinkDialer dialer(group.context());
  dialer.dial(kAddress, std::chrono::seconds(5), [&](std::shared_ptr<link::FramedLink> link) {
    relay = std::move(link);
    relay->start([&](const v1::Frame& frame) { replies.push_back(frame.lease()); }, [] {});
  });
  REQUIRE(group.runUntil([&] { return relay != nullptr; }));
  const auto renew = [&](uint64_t sequence) {
    v1::Frame frame;
    frame.mutable_renewal()->set_sequence(sequence);
    frame.mutable_renewal()->set_name("relay-1");
    // The fixture's documents are not compressed: the relay says that it has the configuration.
    frame.mutable_renewal()->set_configuration_version(1);
    relay->send(frame);
  };
  renew(1);
  REQUIRE(group.runUntil([&] { return !replies.empty(); }));
  CHECK(replies[0].confirmed());
  CHECK(replies[0].sequence() == 1);
  // The others are gone; what they answered before counts for nothing.
  for (const char* address : {"a", "b", "c"}) {
    if (address != leading) {
      group.kill(address);
    }
  }
  replies.clear();
  REQUIRE(group.at(leading).leads());
  renew(2);
  REQUIRE(group.runUntil([&] { return !group.at(leading).isLeader() && !replies.empty(); }));
  for (const v1::LeaseReply& reply : replies) {
    CHECK_FALSE(reply.confirmed());
  }
  relay->close();
}

TEST_CASE("A long list reaches relays one after the other, as the leader's link bears it") {
  Group group;
  startFirst(group);
  std::string leading = "a";
  for (const char* address : {"a", "b", "c"}) {
    leading = group.at(address).leads() ? address : leading;
  }
  // A burst of 4 KB; the list is several times that.
  constexpr double kLinkMbps = 1;
  constexpr int kRelays = 4;
  daemon::RelayHub hub(group.context(), group.at(leading), group.clock(), kLinkMbps);
  link::LinkListener listener(group.context());
  std::vector<std::shared_ptr<link::FramedLink>> links;
  constexpr const char* kAddress = "127.0.0.1:18262";
  REQUIRE_FALSE(isError(listener.listen(kAddress, [&](std::shared_ptr<link::FramedLink> link) {
    links.push_back(link);
    link->start(
        [&hub, weak = std::weak_ptr(link)](const v1::Frame& frame) {
          if (const auto from = weak.lock()) {
            hub.renewed(from, frame.renewal());
          }
        },
        [] {});
  })));
  std::vector<std::shared_ptr<link::FramedLink>> relays;
  std::vector<int64_t> list_came_ms;
  size_t confirmed = 0;
  std::vector<std::unique_ptr<link::LinkDialer>> dialers;
  for (int i = 0; i < kRelays; ++i) {
    dialers.push_back(std::make_unique<link::LinkDialer>(group.context()));
    dialers.back()->dial(kAddress, std::chrono::seconds(5),
                         [&, i](std::shared_ptr<link::FramedLink> link) {
                           link->start(
                               [&](const v1::Frame& frame) {
                                 confirmed += frame.lease().confirmed() ? 1 : 0;
                                 if (frame.lease().has_runners()) {
                                   list_came_ms.push_back(group.clock().monotonicMs());
                                 }
                               },
                               [] {});
                           v1::Frame frame;
                           frame.mutable_renewal()->set_sequence(1);
                           frame.mutable_renewal()->set_name("relay-" + std::to_string(i));
                           frame.mutable_renewal()->set_configuration_version(1);
                           link->send(frame);
                           relays.push_back(std::move(link));
                         });
  }
  REQUIRE(group.runUntil([&] { return confirmed == kRelays; }));
  v1::RunnerList list;
  SeededRandom random(3);
  for (int i = 0; i < 400; ++i) {
    v1::RunnerEntry* entry = list.add_runners();
    entry->set_id(std::to_string(random.next()));
    entry->set_address(std::to_string(random.next()));
  }
  hub.runnersRead(list);
  REQUIRE(group.runUntil([&] { return list_came_ms.size() == kRelays; }));
  // Each of them is some 10 KB, at 87 KB a second; nobody's lease waited for it.
  CHECK(list_came_ms.back() - list_came_ms.front() >= 150);
  for (const auto& relay : relays) {
    relay->close();
  }
}

TEST_CASE(
    "A leader that slept gives, confirms and acknowledges nothing before it was heard again") {
  Group group;
  startFirst(group);
  std::string leading;
  for (const char* address : {"a", "b", "c"}) {
    leading = group.at(address).leads() ? address : leading;
  }
  // Longer than an election takes: the others may follow another leader by now.
  group.cutOff(leading, true);
  group.sleep(leading, 3000);
  CHECK_FALSE(group.at(leading).leads());
  std::vector<StoreOutcome> outcomes;
  v1::GroupCommand order;
  order.mutable_evacuation()->set_zone("north");
  order.mutable_evacuation()->set_begin(true);
  group.at(leading).order(order, [&](StoreOutcome outcome) { outcomes.push_back(outcome); });
  CHECK(outcomes == std::vector<StoreOutcome>{StoreOutcome::NotLeader});
  bool confirmed = false;
  group.at(leading).read([&](const v1::StoredConfiguration* read) { confirmed = read != nullptr; });
  REQUIRE(group.runUntil([&] {
    GroupReplica* other = group.leader();
    return other != nullptr && other != &group.at(leading);
  }));
  CHECK_FALSE(confirmed);
  group.cutOff(leading, false);
  REQUIRE(group.order("south", true));
  REQUIRE(group.runUntil([&] { return group.at(leading).evacuations().zones_size() == 1; }));
}

TEST_CASE("A follower that slept catches up") {
  Group group;
  startFirst(group);
  std::string asleep;
  for (const char* address : {"a", "b", "c"}) {
    asleep = group.at(address).leads() ? asleep : address;
  }
  group.sleep(asleep, 3000);
  REQUIRE(group.order("south", true));
  REQUIRE(group.runUntil([&] { return group.at(asleep).evacuations().zones_size() == 1; }));
}

} // namespace workshatch::test

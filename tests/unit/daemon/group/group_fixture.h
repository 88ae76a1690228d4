/// @file
/// Fixture for group tests: replicas on one event loop, with in-memory disks and a transport that
/// can drop messages.
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <type_traits>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include "adapters/system_clock.h"
#include "daemon/group/founder_identity.h"
#include "daemon/group/group_replica.h"
#include "daemon/group/member_search.h"
#include "ports/seeded_random.h"
#include "unit/daemon/memory_store.h"
#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

using daemon::CallOutcome;
using daemon::GroupOptions;
using daemon::GroupReplica;
using daemon::StoreOutcome;

inline v1::GroupCommand evacuationOrder(const std::string& zone, bool begin) {
  v1::GroupCommand command;
  command.mutable_evacuation()->set_zone(zone);
  command.mutable_evacuation()->set_begin(begin);
  return command;
}

/// A group of replicas on one event loop. Messages to machines without a running replica are
/// dropped.
class Group {
public:
  /// @param voters number of voters up to which the group grows
  /// @param silent_voter_limit_ms time without a reply after which a voter may be replaced
  /// @param seed draws elections, identities and lost hellos
  explicit Group(size_t voters = 3, int64_t silent_voter_limit_ms = 200, uint64_t seed = 7)
      : voters_(voters), silent_voter_limit_ms_(silent_voter_limit_ms), random_(seed) {}

  struct Machine {
    /// The machine's clock, which a test can advance as if the machine had been suspended.
    SuspendableClock clock;
    std::unique_ptr<MemoryStore> disk;
    std::unique_ptr<GroupReplica> replica;
  };

  /// Sets the seeds of all running replicas and of those that are started later.
  void setSeeds(std::set<std::string> seeds) {
    seeds_ = std::move(seeds);
    for (auto& [address, machine] : machines_) {
      if (machine.replica) {
        machine.replica->setSeeds({seeds_.begin(), seeds_.end()});
      }
    }
  }
  size_t voters() const { return voters_; }
  const std::set<std::string>& seeds() const { return seeds_; }

  void start(const std::string& address, uint64_t id, bool first_start) {
    Machine& machine = machines_[address];
    if (!machine.disk) {
      const bool founder = first_start && seeds_.contains(address);
      machine.disk = std::make_unique<MemoryStore>(founder ? daemon::founderIdentity(address) : id);
    }
    GroupOptions options;
    options.own_address = address;
    options.seeds = {seeds_.begin(), seeds_.end()};
    options.voters = voters_;
    options.tick_ms = 10;
    options.silent_voter_limit_ms = silent_voter_limit_ms_;
    options.snapshot_entries = 4;
    machine.replica = std::make_unique<GroupReplica>(context_, options, *machine.disk,
                                                     machine.clock, random_, transportOf(address));
    machine.replica->setHelloSender([this](const std::string& to, const v1::ReplicaHello& hello) {
      if (random_.below(kPercent) < lost_hellos_percent_) {
        return;
      }
      deliver(to, [hello](GroupReplica& replica) { replica.helloReceived(hello); });
    });
    machine.replica->setJoinSender([this](const std::string& to, const v1::JoinRequest& join) {
      deliver(to, [join](auto& receiver) { receiver.joinReceived(join); });
    });
    machine.replica->setNoticeSender(noticeSender());
    machine.replica->setLeaveSender([this](const std::string& to, const v1::LeaveRequest& leave) {
      deliver(to, [leave](GroupReplica& replica) { replica.leaveReceived(leave); });
    });
    machine.replica->setLeaveReplySender([this](const std::string& to, const v1::LeaveReply& left) {
      deliver(to, [left](GroupReplica& replica) { replica.leaveReplyReceived(left); });
    });
    REQUIRE_FALSE(isError(machine.replica->start()));
  }
  /// Starts a machine that holds no replica, or starts its process again.
  void startWithoutReplica(const std::string& address) {
    searches_[address] = std::make_unique<daemon::MemberSearch>(
        clock_, address, std::vector<std::string>(seeds_.begin(), seeds_.end()), noticeSender());
  }
  daemon::MemberSearch& searchAt(const std::string& address) { return *searches_.at(address); }
  /// Simulates a suspension of the machine: its clock jumps ahead.
  void sleep(const std::string& address, int64_t milliseconds) {
    machines_.at(address).clock.sleepFor(milliseconds);
  }
  /// Kills the replica's process, with its timers and the messages sent to it. The disk remains.
  void kill(const std::string& address) { machines_.at(address).replica.reset(); }
  /// Stops a replica as planned: it runs on until it may end.
  void stopAsPlanned(const std::string& address) {
    at(address).leave();
    REQUIRE(runUntil([&] { return at(address).mayEnd(); }));
  }
  /// Drops this share of all later hellos, drawn by the seed of the group.
  void loseHellos(uint64_t percent) { lost_hellos_percent_ = percent; }
  /// Drops Raft messages to and from a machine while `cut` is set.
  void cutOff(const std::string& address, bool cut) {
    if (cut) {
      cut_off_.insert(address);
    } else {
      cut_off_.erase(address);
    }
  }
  /// Erases the machine's disk.
  void wipe(const std::string& address) { machines_.at(address).disk.reset(); }

  bool runUntil(const std::function<bool()>& condition) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    bool met = condition();
    while (!met && std::chrono::steady_clock::now() < limit) {
      for (auto& [address, search] : searches_) {
        search->poll();
      }
      context_.run_one_for(std::chrono::milliseconds(20));
      met = condition();
    }
    return met;
  }
  void runFor(std::chrono::milliseconds duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    runUntil([end] { return std::chrono::steady_clock::now() >= end; });
  }
  GroupReplica* leader() {
    const std::string address = leaderAddress();
    return address.empty() ? nullptr : machines_.at(address).replica.get();
  }
  /// @return the address of the leader; empty if there is none.
  std::string leaderAddress() {
    for (auto& [address, machine] : machines_) {
      if (machine.replica && machine.replica->leads()) {
        return address;
      }
    }
    return "";
  }
  /// Stores a configuration through the current leader and retries until it is acknowledged.
  bool store(uint64_t version) {
    bool stored = false;
    bool pending = false;
    return runUntil([&] {
      GroupReplica* leading = stored || pending ? nullptr : leader();
      if (leading != nullptr) {
        pending = true;
        v1::StoredConfiguration configuration;
        configuration.set_version(version);
        configuration.set_compressed_document("v" + std::to_string(version));
        leading->store(configuration, [&](const CallOutcome<StoreOutcome>& outcome) {
          stored = outcome == CallOutcome<StoreOutcome>(StoreOutcome::Stored);
          pending = false;
        });
      }
      return stored;
    });
  }
  /// Orders an evacuation or its end through the current leader and retries until it is
  /// acknowledged.
  bool order(const std::string& zone, bool begin) {
    bool stored = false;
    bool pending = false;
    return runUntil([&] {
      GroupReplica* leading = stored || pending ? nullptr : leader();
      if (leading != nullptr) {
        pending = true;
        leading->order(evacuationOrder(zone, begin), [&](const CallOutcome<StoreOutcome>& outcome) {
          stored = outcome == CallOutcome<StoreOutcome>(StoreOutcome::Stored);
          pending = false;
        });
      }
      return stored;
    });
  }
  /// @return the evacuated zones, read from the leader after a majority confirmed it.
  std::vector<std::string> evacuated() {
    REQUIRE(read().size() > 0);
    GroupReplica* leading = leader();
    REQUIRE(leading != nullptr);
    return relay::evacuatedZoneNames(leading->evacuations());
  }
  /// @return the configuration document, read through the current leader; retries until it
  /// succeeds.
  std::string read() {
    std::string document;
    bool pending = false;
    runUntil([&] {
      GroupReplica* leading = pending || !document.empty() ? nullptr : leader();
      if (leading != nullptr) {
        pending = true;
        using Read = CallOutcome<const v1::StoredConfiguration*>;
        leading->read([&](const Read& read) {
          const auto* stored = std::get_if<const v1::StoredConfiguration*>(&read);
          const bool known = stored != nullptr && *stored != nullptr;
          document = known ? (*stored)->compressed_document() : "";
          pending = false;
        });
      }
      return !document.empty();
    });
    return document;
  }
  bool isRunning(const std::string& address) const {
    const auto found = machines_.find(address);
    return found != machines_.end() && found->second.replica != nullptr;
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
  /// @param call takes a replica, and a machine without one if such frames reach it too
  template <typename Call> void deliver(const std::string& to, Call call) {
    boost::asio::post(context_, [this, to, call = std::move(call)] {
      const auto found = machines_.find(to);
      if (found != machines_.end() && found->second.replica) {
        call(*found->second.replica);
      }
      if constexpr (std::is_invocable_v<Call, daemon::MemberSearch&>) {
        const auto search = searches_.find(to);
        if (search != searches_.end()) {
          call(*search->second);
        }
      }
    });
  }
  GroupReplica::NoticeSender noticeSender() {
    return [this](const std::string& to, const v1::MembersNotice& notice) {
      deliver(to, [notice](auto& receiver) { receiver.noticeReceived(notice); });
    };
  }

  static constexpr uint64_t kPercent = 100;

  const size_t voters_;
  const int64_t silent_voter_limit_ms_;
  boost::asio::io_context context_;
  const SystemClock clock_{};
  SeededRandom random_;
  uint64_t lost_hellos_percent_ = 0;
  std::map<std::string, std::unique_ptr<Transport>> transports_;
  std::map<std::string, Machine> machines_;
  /// Machines without a replica.
  std::map<std::string, std::unique_ptr<daemon::MemberSearch>> searches_;
  std::set<std::string> cut_off_;
  std::set<std::string> seeds_ = {"a", "b", "c"};
};

/// Starts the initial replicas a, b and c and stores version 1.
inline void startFirst(Group& group) {
  group.start("a", 11, true);
  group.start("b", 12, true);
  group.start("c", 13, true);
  REQUIRE(group.store(1));
}

} // namespace workshatch::test

/// @file
/// Simulation of a control group: replicas with the state machine and the leader's tasks for
/// routers, disks with torn writes and losses, and a network that loses, repeats, delays and blocks
/// messages. A seed determines the whole history.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/control/replicated_state.h"
#include "core/control/router_manager.h"
#include "core/raft/raft_node.h"
#include "ports/seeded_random.h"

namespace workshatch::test {

constexpr int64_t kTickMs = 50;
constexpr uint32_t kElectionTicks = 10;
constexpr uint32_t kFirstElectionTicks = 4;
constexpr int64_t kLeaseMs = 1500;

/// Contents of a replica's disk.
struct SimulatedDisk {
  v1::RaftHardState hard_state;
  v1::RaftSnapshot snapshot;
  /// Base entry first.
  std::vector<v1::RaftEntry> entries;

  /// Stores at most `max_records` records of `ready`, as a torn write does.
  void write(const raft::RaftReady& ready, size_t max_records);
  raft::RaftRecovery recover() const;
};

struct SimulatedReplica {
  uint64_t id = 0;
  SimulatedDisk disk;
  std::unique_ptr<raft::RaftNode> node;
  control::ReplicatedState state;
  std::optional<control::RouterManager> router_manager;
  uint64_t router_manager_term = 0;
  uint64_t applied = 0;
  bool up = true;
  bool frozen = false;
  bool lost = false;
  /// Ticks that passed while the replica was frozen.
  int64_t missed_ticks = 0;
};

/// Rates of the injected faults.
struct FaultRates {
  /// Per thousand messages.
  uint64_t lose = 50;
  uint64_t repeat = 30;
  /// Per thousand steps.
  uint64_t crash = 4;
  uint64_t freeze = 4;
  uint64_t cut = 4;
  /// Isolates a replica from all others.
  uint64_t isolate = 4;
  /// Restart of a crashed replica.
  uint64_t restart = 100;
  uint64_t lose_disk = 0;
};

/// A group whose invariants are checked after each step: one leader per term; committed entries are
/// equal on all replicas and never change; no leader relies on its lease while another one relies
/// on its own or leads a later term. The first violation is kept in `violation()`.
class SimulatedGroup {
public:
  /// @param leases whether leaders rely on leases, which requires that restarted replicas withhold
  /// their votes; without leases replicas start an election soon after a restart
  SimulatedGroup(uint64_t seed, size_t replicas, FaultRates rates, bool leases = true);

  /// Advances time by one tick, with message deliveries and faults.
  void step();
  /// Ends all faults: connections are restored and replicas restarted.
  void healAll();

  SimulatedReplica* leader();
  std::vector<std::unique_ptr<SimulatedReplica>>& replicas() { return replicas_; }
  SeededRandom& random() { return random_; }
  int64_t nowMs() const { return now_ms_; }

  /// Proposes a command on a replica that considers itself the leader.
  bool propose(SimulatedReplica& replica, v1::Command command);
  /// Highest index that any replica has committed.
  uint64_t highestCommit() const { return committed_.empty() ? 0 : committed_.rbegin()->first; }
  /// Requests a linearizable read from a replica. Its confirmation is checked against what was
  /// committed before the request.
  void requestRead(SimulatedReplica& replica);
  uint64_t confirmedReads() const { return confirmed_reads_; }

  const std::string& violation() const { return violation_; }
  void fail(const std::string& text);

  /// Called after each command that a replica applies, for further checks.
  std::function<void(SimulatedReplica&)> on_applied;

private:
  /// A message in flight.
  struct Flight {
    int64_t at_ms = 0;
    v1::RaftMessage message;
  };
  struct Read {
    uint64_t least_index = 0;
  };

  void start(SimulatedReplica& replica);
  void processReady(SimulatedReplica& replica);
  void apply(SimulatedReplica& replica, const v1::RaftEntry& entry);
  void send(const v1::RaftMessage& message);
  void deliver();
  void tick(SimulatedReplica& replica);
  void injectFaults();
  void injectCuts(SimulatedReplica& replica);
  void crash(SimulatedReplica& replica, bool torn);
  void replaceLost();
  void checkLeaders();
  SimulatedReplica* find(uint64_t id);
  bool chance(uint64_t per_thousand) { return random_.below(1000) < per_thousand; }

  SeededRandom random_;
  FaultRates rates_;
  const bool leases_;
  int64_t now_ms_ = 0;
  std::vector<std::unique_ptr<SimulatedReplica>> replicas_;
  std::vector<Flight> flights_;
  /// Ordered pairs of sender and receiver between which messages are dropped.
  std::set<std::pair<uint64_t, uint64_t>> cuts_;
  std::map<uint64_t, uint64_t> leader_of_term_;
  std::map<uint64_t, std::string> committed_;
  std::map<uint64_t, Read> reads_;
  uint64_t next_read_ = 1;
  uint64_t confirmed_reads_ = 0;
  uint64_t next_id_ = 1;
  std::string violation_;
  /// ID of the replica whose next write is torn by a crash; zero: none.
  uint64_t tear_next_ = 0;
};

} // namespace workshatch::test

/// @file
/// A control replica: runs the replicated log and, while it leads, the duties towards routers.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "core/control/replicated_state.h"
#include "core/control/router_manager.h"
#include "core/raft/raft_node.h"
#include "daemon/open_calls.h"
#include "ports/clock.h"
#include "ports/log_store.h"
#include "ports/random.h"
#include "ports/replica_transport.h"

namespace workshatch::daemon {

struct ReplicaOptions {
  /// Addresses of the replicas that form the group at first, this one included.
  std::vector<std::string> initial_addresses;
  std::string own_address;
  int64_t heartbeat_ms = 50;
  uint32_t election_ticks = 10;
  control::LeaseOptions leases;
  int64_t accept_wait_ms = 5000;
  uint64_t snapshot_entries = 4096;
};

/// The replica can't answer; the caller asks the leader, if one is known.
struct NotLeader {
  std::string leader_address;
};

/// How the stop of a replica ended.
enum class StopOutcome {
  Ended,
  /// The disk has not returned from a write or sync. The replica's thread still runs; the process
  /// ends without destroying the replica. What hangs was acknowledged to nobody.
  DiskHangs,
};

using ProposalOutcome = std::variant<control::CommandResult, NotLeader>;
using ProposalCallback = ReplyCallback<ProposalOutcome>;

/// One replica. All state belongs to one thread, the loop; public methods post work to it and are
/// safe for concurrent use. Each call gets one outcome, Unavailable while the disk refuses writes
/// and from `stop` on. Callbacks run on the loop, or on the thread that stops or calls, and don't
/// block.
class ControlReplica {
public:
  ControlReplica(ReplicaOptions options, LogStore& store, const Clock& clock, Random& random,
                 ReplicaTransport& transport);
  ~ControlReplica();
  ControlReplica(const ControlReplica&) = delete;
  ControlReplica& operator=(const ControlReplica&) = delete;

  /// Reads what is stored and starts the loop.
  Result<std::monostate> start();
  /// Hands leadership over if this replica leads, refuses all calls and stops the loop. Takes at
  /// most an election timeout and kLoopEndLimit of control_loop.cc.
  StopOutcome stop();

  void deliver(v1::RaftBatch batch);
  void hello(const v1::HelloRequest& request, CallCallback<v1::HelloReply> done);
  /// Answer of another replica to this one's hello, while no group exists here.
  void helloReplyReceived(const std::string& address, const v1::HelloReply& reply);
  /// @return whether this replica has never been part of a group.
  bool ungrouped() const;
  uint64_t id() const { return id_; }

  void renew(v1::RenewRequest request, CallCallback<v1::RenewReply> done);
  /// Proposes a change of the ledger.
  void proposeLedgerChange(v1::Command command, CallCallback<ProposalOutcome> done);
  void apply(v1::ApplyRequest request, CallCallback<v1::ApplyReply> done);
  void drainRunner(v1::DrainRunnerRequest request, CallCallback<v1::ApplyReply> done);
  void depart(v1::RouterKey router, CallCallback<v1::DepartReply> done);
  void get(CallCallback<v1::GetReply> done);
  void status(CallCallback<v1::StatusReply> done);
  void replaceReplica(v1::ReplaceReplicaRequest request,
                      CallCallback<v1::ReplaceReplicaReply> done);
  CallCounts callCounts() const { return calls_.counts(); }

private:
  struct PendingAccept {
    uint64_t revision = 0;
    int64_t until_ms = 0;
    ReplyCallback<v1::ApplyReply> reply;
  };

  /// Gives work to the loop; drops it once the loop is told to stop.
  void post(std::function<void()> work);
  void propose(v1::Command command, ProposalCallback done);
  void proposeChange(v1::Command command, ReplyCallback<v1::ApplyReply> reply);
  void handOverLeadership();
  /// @return whether the loop has ended within `limit`.
  bool waitForLoopEnd(std::chrono::milliseconds limit);
  void run();
  void runOnce(std::deque<std::function<void()>> work);
  void runTicks();
  void processReady();
  bool writeReady(const raft::RaftReady& ready);
  void logSlowWrite(int64_t took_ms) const;
  void handleDiskSuccess();
  void handleDiskFailure(const Error& error);
  bool waitForDisk();
  void applyEntry(const v1::RaftEntry& entry);
  void sendMessages(std::vector<v1::RaftMessage> messages);
  void compactIfDue();
  void runLeaderTasks();
  void updateLeadership();
  void failPending();
  void checkPendingAccepts();
  void handleRenew(const v1::RenewRequest& request, const ReplyCallback<v1::RenewReply>& reply);
  void awaitAccept(const ProposalOutcome& outcome, const ReplyCallback<v1::ApplyReply>& reply);
  void formGroup();
  void makeNode(raft::RaftRecovery recovery);
  std::string leaderAddress() const;
  std::string addressOf(uint64_t member) const;
  template <typename Reply> Reply notLeader() const;
  void confirmRead(std::function<void(bool confirmed)> done);
  v1::ReplaceReplicaReply advanceReplacement(const v1::ReplaceReplicaRequest& request);

  const ReplicaOptions options_;
  LogStore& store_;
  const Clock& clock_;
  Random& random_;
  ReplicaTransport& transport_;

  OpenCalls calls_;

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  /// Guarded by mutex_.
  std::deque<std::function<void()>> inbox_;
  /// Guarded by mutex_.
  bool stopping_ = false;
  std::condition_variable loop_ended_changed_;
  /// Guarded by mutex_.
  bool loop_ended_ = false;
  std::thread thread_;

  // All below belongs to the loop, except where said.
  /// Set once by `start`.
  uint64_t id_ = 0;
  std::unique_ptr<raft::RaftNode> node_;
  control::ReplicatedState state_;
  /// Set while this replica leads.
  std::optional<control::RouterManager> router_manager_;
  int64_t next_tick_ms_ = 0;
  uint64_t applied_ = 0;
  uint64_t leader_term_ = 0;
  uint64_t next_context_ = 1;
  std::map<uint64_t, ProposalCallback> proposals_;
  std::map<uint64_t, std::function<void(bool)>> reads_;
  std::vector<PendingAccept> pending_accepts_;
  std::map<std::string, uint64_t> hello_ids_;
  /// Written by the loop, read by others.
  std::atomic<bool> ungrouped_{true};
  /// Written by the loop, read by `stop`.
  std::atomic<bool> leads_{false};
  /// Where messages of replicas came from that are not members here (yet).
  std::map<uint64_t, std::string> sender_addresses_;
  bool disk_failing_ = false;
};

} // namespace workshatch::daemon

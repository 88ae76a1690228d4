/// @file
/// A replica of the control group: runs the replicated log and, while it is the leader, renews the
/// leases of routers and applies configuration changes.
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
  /// Addresses of the replicas that form the group on its first start, including this one.
  std::vector<std::string> initial_addresses;
  std::string own_address;
  int64_t heartbeat_ms = 50;
  uint32_t election_ticks = 10;
  control::LeaseOptions leases;
  /// How long a committed change waits for all routers before it is answered as pending.
  int64_t accept_wait_ms = 5000;
  /// Number of applied entries after which a snapshot is taken and the log is compacted.
  uint64_t snapshot_entries = 4096;
};

/// Outcome of a call to a replica that is not the leader. The caller retries at the leader.
struct NotLeader {
  /// Empty if no leader is known.
  std::string leader_address;
};

/// Result of stopping a replica.
enum class StopOutcome {
  Ended,
  /// A disk write or sync has not returned. The replica's thread still runs, and the process has to
  /// exit without destroying the replica. The unfinished write has not been acknowledged to any
  /// caller.
  DiskHangs,
};

using ProposalOutcome = std::variant<control::CommandResult, NotLeader>;
using ProposalCallback = ReplyCallback<ProposalOutcome>;

/// One replica of the control group. All state belongs to one event loop thread. Public methods
/// post work to the loop and are safe for concurrent use. Each call gets exactly one outcome, which
/// is Unavailable while disk writes fail and after `stop` was called. Callbacks run on the loop, on
/// the thread that calls `stop` or on the caller's thread, and must not block.
class ControlReplica {
public:
  ControlReplica(ReplicaOptions options, LogStore& store, const Clock& clock, Random& random,
                 ReplicaTransport& transport);
  ~ControlReplica();
  ControlReplica(const ControlReplica&) = delete;
  ControlReplica& operator=(const ControlReplica&) = delete;

  /// Loads the stored state and starts the loop. Fails if the stored state cannot be read, but not
  /// if the disk refuses writes.
  Result<std::monostate> start();
  /// Transfers leadership if this replica is the leader, refuses all calls and stops the loop.
  /// Takes at most an election timeout plus kLoopEndLimit of control_loop.cc.
  StopOutcome stop();

  /// Handles Raft messages from another replica.
  void deliver(v1::RaftBatch batch);
  /// Answers another replica with the identity and the membership known to this one.
  void hello(const v1::HelloRequest& request, CallCallback<v1::HelloReply> done);
  /// Handles the reply to a hello that this replica sent while it belonged to no group. Forms the
  /// group once all initial replicas have replied.
  void helloReplyReceived(const std::string& address, const v1::HelloReply& reply);
  /// @return whether this replica has never been a member of a group.
  bool ungrouped() const;
  uint64_t id() const { return id_; }

  void renew(v1::RenewRequest request, CallCallback<v1::RenewReply> done);
  /// Proposes a change to the ledger.
  void proposeLedgerChange(v1::Command command, CallCallback<ProposalOutcome> done);
  void apply(v1::ApplyRequest request, CallCallback<v1::ApplyReply> done);
  /// Proposes to drain a runner and answers as `apply` does.
  void drainRunner(v1::DrainRunnerRequest request, CallCallback<v1::ApplyReply> done);
  /// Removes a router that shuts down as planned.
  void depart(v1::RouterKey router, CallCallback<v1::DepartReply> done);
  /// Reads the current configuration, confirmed by a majority.
  void get(CallCallback<v1::GetReply> done);
  void status(CallCallback<v1::StatusReply> done);
  /// Takes one step towards replacing a replica; the caller repeats the call until it is done.
  void replaceReplica(v1::ReplaceReplicaRequest request,
                      CallCallback<v1::ReplaceReplicaReply> done);
  CallCounts callCounts() const { return calls_.counts(); }

private:
  /// A caller that waits until a revision is in force on all routers.
  struct PendingAccept {
    uint64_t revision = 0;
    /// Monotonic time at which the caller is answered with a pending state.
    int64_t until_ms = 0;
    ReplyCallback<v1::ApplyReply> reply;
  };

  /// Queues work for the loop; drops the work if the loop is stopping.
  void post(std::function<void()> work);
  void propose(v1::Command command, ProposalCallback done);
  void proposeChange(v1::Command command, ReplyCallback<v1::ApplyReply> reply);
  void handOverLeadership();
  /// @return whether the loop ended within `limit`.
  bool waitForLoopEnd(std::chrono::milliseconds limit);
  void run();
  void runOnce(std::deque<std::function<void()>> work);
  void runTicks();
  void processReady();
  bool writeReady(const raft::RaftReady& ready);
  bool writeUntilDone(const std::function<Result<std::monostate>()>& write);
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
  /// Work for the loop. Guarded by mutex_.
  std::deque<std::function<void()>> inbox_;
  /// Guarded by mutex_.
  bool stopping_ = false;
  std::condition_variable loop_ended_changed_;
  /// Guarded by mutex_.
  bool loop_ended_ = false;
  std::thread thread_;

  // The members below are used only by the loop, unless stated otherwise.
  /// Set once by `start`.
  uint64_t id_ = 0;
  std::unique_ptr<raft::RaftNode> node_;
  control::ReplicatedState state_;
  /// Set while this replica is the leader.
  std::optional<control::RouterManager> router_manager_;
  int64_t next_tick_ms_ = 0;
  /// Index of the last applied log entry.
  uint64_t applied_ = 0;
  /// Term for which `router_manager_` was created.
  uint64_t leader_term_ = 0;
  uint64_t next_context_ = 1;
  /// Callbacks of uncommitted proposals, by proposal number.
  std::map<uint64_t, ProposalCallback> proposals_;
  /// Callbacks of unconfirmed reads, by read context.
  std::map<uint64_t, std::function<void(bool)>> reads_;
  std::vector<PendingAccept> pending_accepts_;
  /// Identities of replicas that replied to a hello, by address.
  std::map<std::string, uint64_t> hello_ids_;
  /// Written by the loop, read by any thread.
  std::atomic<bool> ungrouped_{true};
  /// Written by the loop, read by `stop`.
  std::atomic<bool> leads_{false};
  /// Addresses of senders of messages by identity, for replicas that are not members yet.
  std::map<uint64_t, std::string> sender_addresses_;
  bool disk_failing_ = false;
};

} // namespace workshatch::daemon

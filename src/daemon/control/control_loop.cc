/// @file
/// The event loop of a control replica: queued work, ticks, handling of disk errors, and shutdown.
#include <algorithm>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

#include "adapters/logging/json_log.h"
#include "daemon/control/control_replica.h"

namespace workshatch::daemon {

namespace {

/// Maximum number of missed ticks that are run after the process was suspended.
constexpr int64_t kMaxCatchUpTicks = 1000;
/// Interval at which `stop` checks whether leadership was transferred.
constexpr std::chrono::milliseconds kHandOverPoll{10};
/// Maximum time for the loop to finish its current work. A write with its sync takes a few
/// milliseconds, and a snapshot of 16 MB at 10 MB/s takes 1.6 s. A longer write is taken to hang.
constexpr std::chrono::milliseconds kLoopEndLimit{2000};

} // namespace

StopOutcome ControlReplica::stop() {
  if (!thread_.joinable()) {
    return StopOutcome::Ended;
  }
  handOverLeadership();
  // The gRPC server's shutdown waits for open calls, so that a call left unanswered by the ended
  // loop would block it.
  calls_.end();
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  // Without a limit, a disk that hangs would keep the process from ever exiting.
  if (!waitForLoopEnd(kLoopEndLimit)) {
    logging::write(logging::Severity::Error, "replica_given_up",
                   {{"waiting_for", "disk"}, {"waited_ms", kLoopEndLimit.count()}});
    return StopOutcome::DiskHangs;
  }
  thread_.join();
  const CallCounts counts = calls_.counts();
  logging::write(
      logging::Severity::Info, "replica_ended",
      {{"taken", counts.accepted}, {"answered", counts.answered}, {"refused", counts.refused}});
  return StopOutcome::Ended;
}

/// Starts a leadership transfer and waits until this replica is no longer the leader, at most for
/// an election timeout. Polls an atomic flag instead of waiting for the loop, which may be blocked
/// by the disk.
void ControlReplica::handOverLeadership() {
  post([this] {
    node_->transferLeadership();
    processReady();
  });
  const int64_t until_ms = clock_.monotonicMs() + options_.heartbeat_ms * options_.election_ticks;
  while (leads_ && clock_.monotonicMs() < until_ms) {
    std::this_thread::sleep_for(kHandOverPoll);
  }
}

bool ControlReplica::waitForLoopEnd(std::chrono::milliseconds limit) {
  std::unique_lock lock(mutex_);
  return loop_ended_changed_.wait_for(lock, limit, [this] { return loop_ended_; });
}

void ControlReplica::post(std::function<void()> work) {
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return;
    }
    inbox_.push_back(std::move(work));
  }
  wake_.notify_one();
}

void ControlReplica::run() {
  // Until what was read at the start is durable, nothing of it may be told.
  const bool settled = writeUntilDone([this] { return store_.settle(); });
  next_tick_ms_ = clock_.monotonicMs() + options_.heartbeat_ms;
  if (settled && options_.initial_addresses.size() == 1) {
    formGroup();
  }
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const int64_t wait_ms = std::max<int64_t>(next_tick_ms_ - clock_.monotonicMs(), 0);
    wake_.wait_for(lock, std::chrono::milliseconds(wait_ms),
                   [this] { return stopping_ || !inbox_.empty(); });
    if (!stopping_) {
      std::deque<std::function<void()>> work;
      work.swap(inbox_);
      lock.unlock();
      runOnce(std::move(work));
      lock.lock();
    }
  }
  loop_ended_ = true;
  loop_ended_changed_.notify_all();
}

void ControlReplica::runOnce(std::deque<std::function<void()>> work) {
  // Ticks run first: after a suspension, a former leader must detect that its lease has expired
  // before it answers any call.
  runTicks();
  for (const auto& item : work) {
    item();
  }
  processReady();
  runLeaderTasks();
  processReady();
}

void ControlReplica::runTicks() {
  const int64_t now = clock_.monotonicMs();
  const int64_t behind = (now - next_tick_ms_) / options_.heartbeat_ms;
  if (behind > kMaxCatchUpTicks) {
    next_tick_ms_ = now - kMaxCatchUpTicks * options_.heartbeat_ms;
  }
  while (next_tick_ms_ <= now) {
    next_tick_ms_ += options_.heartbeat_ms;
    node_->tick();
  }
}

bool ControlReplica::writeReady(const raft::RaftReady& ready) {
  return writeUntilDone([this, &ready] { return store_.write(ready); });
}

/// @return false if the replica has to stop before the write succeeds.
bool ControlReplica::writeUntilDone(const std::function<Result<std::monostate>()>& write) {
  // Messages must not be sent and entries must not be applied before the write is durable, so the
  // loop blocks until it succeeds.
  while (true) {
    const int64_t begin_ms = clock_.monotonicMs();
    const auto written = write();
    logSlowWrite(clock_.monotonicMs() - begin_ms);
    if (!isError(written)) {
      handleDiskSuccess();
      return true;
    }
    handleDiskFailure(errorOf(written));
    if (!waitForDisk()) {
      return false;
    }
  }
}

void ControlReplica::handleDiskSuccess() {
  if (std::exchange(disk_failing_, false)) {
    calls_.resumeAccepting();
    logging::write(logging::Severity::Warning, "disk_recovered", nlohmann::json::object());
  }
}

void ControlReplica::handleDiskFailure(const Error& error) {
  if (!std::exchange(disk_failing_, true)) {
    // Refused callers retry at another replica. Otherwise they would wait until their deadlines.
    calls_.refuseAll();
    logging::write(logging::Severity::Error, "disk_failed",
                   {{"error", error.message},
                    {"consequence", "this replica is inactive until disk writes succeed"}});
  }
}

/// Waits for one heartbeat interval and discards work that arrives meanwhile: its calls have been
/// refused, and Raft tolerates lost messages.
/// @return false if the replica has to stop.
bool ControlReplica::waitForDisk() {
  std::deque<std::function<void()>> dropped;
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, std::chrono::milliseconds(options_.heartbeat_ms),
                 [this] { return stopping_; });
  dropped.swap(inbox_);
  return !stopping_;
}

/// Logs a write that took at least an election timeout, during which other replicas may have
/// started an election.
void ControlReplica::logSlowWrite(int64_t took_ms) const {
  if (took_ms >= options_.heartbeat_ms * options_.election_ticks) {
    logging::write(logging::Severity::Warning, "disk_slow",
                   {{"took_ms", took_ms}, {"leads", leads_.load()}});
  }
}

} // namespace workshatch::daemon

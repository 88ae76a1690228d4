/// @file
/// In-memory log store of a replica, in which a test can simulate a full or hanging disk.
#pragma once

#include <atomic>

#include "ports/log_store.h"

namespace workshatch::test {

/// Keeps the log and the hard state of one replica in memory. Outlives the replica, so that another
/// one can be started from it.
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
  Result<std::monostate> settle() override {
    hanging.wait(true);
    return full ? Result<std::monostate>(Error{"no space left"}) : std::monostate{};
  }
  Result<std::monostate> storeIdentity(uint64_t id) override {
    id_ = id;
    return std::monostate{};
  }
  Result<std::monostate> write(const raft::RaftReady& ready) override {
    hanging.wait(true);
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

  /// Ends a simulated hang.
  void resume() {
    hanging = false;
    hanging.notify_all();
  }

  /// While true, writes fail.
  std::atomic<bool> full{false};
  /// While true, writes block.
  std::atomic<bool> hanging{false};

private:
  uint64_t id_;
  raft::RaftLog log_;
  v1::RaftHardState hard_state_;
};

} // namespace workshatch::test

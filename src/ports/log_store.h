/// @file
/// Port: durable storage of a control replica.
#pragma once

#include <cstdint>

#include "core/raft/raft_node.h"
#include "core/result.h"

namespace workshatch {

/// State that a replica reads when it starts.
struct StoredReplica {
  /// Identity of the replica's data folder; never zero.
  uint64_t id = 0;
  raft::RaftRecovery recovery;
};

/// Durable storage of one replica. Used by one thread.
class LogStore {
public:
  virtual ~LogStore() = default;

  /// Reads the stored state, and writes none: a replica can start while its disk refuses writes.
  /// For an empty folder, chooses an identity. A damaged record in the middle of the log is an
  /// error that names file and offset; an incomplete record at the end is left out.
  virtual Result<StoredReplica> load() = 0;

  /// Makes durable what `load` returned; to be repeated until it succeeds. What a predecessor wrote
  /// and did not sync may be lost until then, so that a replica must not tell others anything that
  /// follows from it, its identity included.
  virtual Result<std::monostate> settle() = 0;

  /// Replaces the identity, which no other replica has seen in use yet.
  virtual Result<std::monostate> storeIdentity(uint64_t id) = 0;

  /// Makes the snapshot, truncation, entries and hard state of `ready` durable before it returns.
  /// @return an error when the data cannot be relied on to be stored, for example on a full disk.
  virtual Result<std::monostate> write(const raft::RaftReady& ready) = 0;

  /// Stores the snapshot of `log` and replaces the stored log by the entries that `log` keeps.
  virtual Result<std::monostate> compact(const raft::RaftLog& log,
                                         const v1::RaftHardState& hard_state) = 0;
};

} // namespace workshatch

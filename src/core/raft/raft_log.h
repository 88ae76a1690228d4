/// @file
/// In-memory copy of the replicated log since the last compaction.
#pragma once

#include <cstdint>
#include <vector>

#include "workshatch/v1/raft.pb.h"

namespace workshatch::raft {

/// The suffix of the log that a replica keeps in memory, and its latest snapshot.
///
/// Guarantees: indexes are contiguous; the base entry (see `baseIndex`) is never handed out; an
/// entry at or below the snapshot's index is never truncated. Not safe for concurrent use.
class RaftLog {
public:
  RaftLog();

  /// Restores a log from what a disk held.
  /// @param entries contiguous entries; the first is the base, of which only index and term count.
  RaftLog(v1::RaftSnapshot snapshot, std::vector<v1::RaftEntry> entries);

  /// Index of the entry just before the first that is kept.
  uint64_t baseIndex() const { return entries_.front().index(); }
  uint64_t lastIndex() const { return entries_.back().index(); }
  uint64_t lastTerm() const { return entries_.back().term(); }
  const v1::RaftSnapshot& snapshot() const { return snapshot_; }

  /// @return whether the term of the entry at `index` is known.
  bool contains(uint64_t index) const { return index >= baseIndex() && index <= lastIndex(); }

  /// Term of the entry at `index`, which the log contains.
  uint64_t termAt(uint64_t index) const;

  /// Entry at `index`, which is above the base.
  const v1::RaftEntry& at(uint64_t index) const;

  void append(v1::RaftEntry entry);

  /// Drops all entries from `index` on.
  void truncateFrom(uint64_t index);

  /// Entries from `first` to at most `last`, up to `max_bytes` (always at least one).
  std::vector<v1::RaftEntry> slice(uint64_t first, uint64_t last, size_t max_bytes) const;

  /// Replaces the log by a snapshot from the leader.
  void restore(const v1::RaftSnapshot& snapshot);

  /// Takes a snapshot of the replica's own and drops entries, keeping `trailing` before it.
  void compact(v1::RaftSnapshot snapshot, uint64_t trailing);

  /// The newest membership in the log, whether committed or not, else the snapshot's.
  v1::RaftMembership latestMembership() const;

  /// The membership in force at `index`, which is not below the snapshot's index.
  v1::RaftMembership membershipAt(uint64_t index) const;

  /// Base entry and all entries, as a new log file holds them.
  const std::vector<v1::RaftEntry>& entriesWithBase() const { return entries_; }

private:
  v1::RaftSnapshot snapshot_;
  std::vector<v1::RaftEntry> entries_;
};

} // namespace workshatch::raft

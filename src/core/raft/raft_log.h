/// @file
/// In-memory copy of the replicated log since the last compaction.
#pragma once

#include <cstdint>
#include <vector>

#include "workshatch/v1/raft.pb.h"

namespace workshatch::raft {

/// The part of the log that a replica keeps in memory, and its latest snapshot.
///
/// Guarantees: indexes are contiguous; `at` and `slice` never return the base entry (see
/// `baseIndex`); an entry at or below the snapshot's index is never truncated. Not safe for
/// concurrent use.
class RaftLog {
public:
  RaftLog();

  /// Restores a log from stored data.
  /// @param entries contiguous entries; the first is the base entry, of which only index and term
  /// are used.
  RaftLog(v1::RaftSnapshot snapshot, std::vector<v1::RaftEntry> entries);

  /// Index of the base entry, just before the first entry that is kept.
  uint64_t baseIndex() const { return entries_.front().index(); }
  uint64_t lastIndex() const { return entries_.back().index(); }
  uint64_t lastTerm() const { return entries_.back().term(); }
  const v1::RaftSnapshot& snapshot() const { return snapshot_; }

  /// @return whether the term of the entry at `index` is known.
  bool contains(uint64_t index) const { return index >= baseIndex() && index <= lastIndex(); }

  /// Term of the entry at `index`, which the log must contain.
  uint64_t termAt(uint64_t index) const;

  /// Entry at `index`, which must be above the base.
  const v1::RaftEntry& at(uint64_t index) const;

  /// Appends an entry, whose index must follow the last one.
  void append(v1::RaftEntry entry);

  /// Removes the entry at `index` and all later ones.
  void truncateFrom(uint64_t index);

  /// @return entries from `first` to at most `last`, up to `max_bytes`, but at least one.
  std::vector<v1::RaftEntry> slice(uint64_t first, uint64_t last, size_t max_bytes) const;

  /// Replaces the log by a snapshot that the leader sent.
  void restore(const v1::RaftSnapshot& snapshot);

  /// Installs a snapshot that this replica has taken, and removes the entries before it except the
  /// last `trailing`.
  void compact(v1::RaftSnapshot snapshot, uint64_t trailing);

  /// @return the newest membership in the log, committed or not; the snapshot's if the log has
  /// none.
  v1::RaftMembership latestMembership() const;

  /// @return the membership in force at `index`, which must not be below the snapshot's index.
  v1::RaftMembership membershipAt(uint64_t index) const;

  /// Base entry and all later entries, in the form in which a new log file stores them.
  const std::vector<v1::RaftEntry>& entriesWithBase() const { return entries_; }

private:
  v1::RaftSnapshot snapshot_;
  std::vector<v1::RaftEntry> entries_;
};

} // namespace workshatch::raft

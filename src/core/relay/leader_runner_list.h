/// @file
/// The list of runners that the leader of the group sends to the relays.
#pragma once

#include <cstdint>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Versions of the lists that one leader sends. Every version of a term is greater than all
/// versions of earlier terms.
class LeaderVersions {
public:
  void begin(uint64_t term) {
    term_ = term;
    changes_ = 0;
  }
  uint64_t next() { return (term_ << kTermShift) + ++changes_; }
  uint64_t term() const { return term_; }

private:
  static constexpr unsigned kTermShift = 24;

  uint64_t term_ = 0;
  uint64_t changes_ = 0;
};

/// How a list differs from the one that was read before it.
enum class ListChange {
  None,
  /// Only cold times became shorter: sent only to relays that request the whole list.
  ColdTimesReduced,
  /// Runners were added, removed, changed or turned cold: sent to all relays under a new version.
  Runners,
};

/// Keeps the newest list that was read from the platform, with a version while this replica leads
/// the group. Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class LeaderRunnerList {
public:
  /// Begins a leadership. Keeps a list that was read shortly before; drops an older one, because
  /// runners may have come and gone since.
  void begin(LeaderVersions& versions, int64_t now_ms);

  /// Stores a list that was read while this replica leads.
  /// @return the change that must be sent to the relays.
  ListChange updateAsLeader(v1::RunnerList list, LeaderVersions& versions);
  /// Stores a list that was read while the group had no leader.
  void updateWithoutLeader(v1::RunnerList list, int64_t now_ms);

  /// Version 0 means that there is no list to send.
  const v1::RunnerList& list() const { return list_; }

private:
  v1::RunnerList list_;
  /// When `list_` was read without a leader; negative if it was not.
  int64_t read_at_ms_ = -1;
};

} // namespace workshatch::relay

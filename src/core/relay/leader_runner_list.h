/// @file
/// The list of runners that the leader of the group tells to the relays.
#pragma once

#include <cstdint>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Versions of what one leader tells: those of a term lie above those of all terms before.
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

/// How a list differs from the one read before.
enum class ListChange {
  None,
  /// Cold runners have become less cold: told to relays that ask for the whole list.
  ColdTimesReduced,
  /// Runners came, went, changed or turned cold: told to all relays, under a new version.
  Runners,
};

/// Keeps the newest list that was read from the platform, with a version while this replica leads.
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class LeaderRunnerList {
public:
  /// Begins a leadership. A list that was read just before counts; an older one is dropped, since
  /// runners may have come and gone since.
  void begin(LeaderVersions& versions, int64_t now_ms);

  /// Takes a list as it was read. @return what the relays have to be told.
  ListChange updateAsLeader(v1::RunnerList list, LeaderVersions& versions);
  void updateWithoutLeader(v1::RunnerList list, int64_t now_ms);

  /// Version zero: there is none to tell.
  const v1::RunnerList& list() const { return list_; }

private:
  v1::RunnerList list_;
  /// When `list_` was read without a leader; negative: never.
  int64_t read_at_ms_ = -1;
};

} // namespace workshatch::relay

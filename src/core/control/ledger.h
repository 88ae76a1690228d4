/// @file
/// Ledger of requests that must not be repeated: each key is dispatched at most once.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "workshatch/v1/control.pb.h"

namespace workshatch::control {

/// Ledger of attempts and recorded answers, a part of the replicated state.
///
/// Guarantees: at most one attempt per key is granted, unless the router that held the earlier
/// grant aborted it; a recorded answer never changes; an unfinished entry whose router is gone
/// becomes "unknown" and stays so. Deterministic; not safe for concurrent use.
class Ledger {
public:
  /// Begins an attempt, or reports the state of an earlier one.
  /// @param clock_ms replicated clock, milliseconds since the epoch
  v1::LedgerReply begin(const v1::LedgerBeginRequest& request, uint64_t clock_ms);
  /// Records the answer of an attempt, or that its outcome is unknown.
  v1::LedgerReply finish(const v1::LedgerFinishRequest& request);
  /// Withdraws an attempt, so that another one may begin.
  v1::LedgerReply abort(const v1::LedgerAbortRequest& request);

  /// Sets the entries that a router incarnation has begun and not finished to "unknown".
  void markUnknown(const std::string& router, uint64_t incarnation);

  /// Removes entries that were begun before `clock_ms`, oldest first, up to the first that is still
  /// in progress.
  void removeBefore(uint64_t clock_ms);

  size_t size() const { return entries_.size(); }
  void save(v1::StateSnapshot& snapshot) const;
  void restore(const v1::StateSnapshot& snapshot);

private:
  struct Age {
    uint64_t begun_ms = 0;
    std::string key;
  };

  std::unordered_map<std::string, v1::LedgerEntry> entries_;
  /// Keys in the order in which they were begun. May contain outdated elements for keys that were
  /// begun again.
  std::deque<Age> ages_;
};

} // namespace workshatch::control

/// @file
/// Ledger of requests that may not be repeated: each key is dispatched at most once.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "workshatch/v1/control.pb.h"

namespace workshatch::control {

/// The ledger, part of the replicated state.
///
/// Guarantees: of all attempts under one key at most one is ever granted, unless the earlier one
/// was aborted by the router that held it; a recorded answer never changes; an entry whose router
/// is gone becomes "unknown" for good. Deterministic; not safe for concurrent use.
class Ledger {
public:
  /// @param clock_ms the replicated clock, milliseconds since the epoch.
  v1::LedgerReply begin(const v1::LedgerBeginRequest& request, uint64_t clock_ms);
  v1::LedgerReply finish(const v1::LedgerFinishRequest& request);
  v1::LedgerReply abort(const v1::LedgerAbortRequest& request);

  /// Entries that a router incarnation has begun and not finished become "unknown".
  void markUnknown(const std::string& router, uint64_t incarnation);

  /// Forgets entries begun before `clock_ms`, except those in progress.
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
  /// Keys by age; may name keys that were begun anew since.
  std::deque<Age> ages_;
};

} // namespace workshatch::control

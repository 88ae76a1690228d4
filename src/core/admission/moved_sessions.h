/// @file
/// Table of sessions that were served by an engine other than their first-ranked one and have their
/// cache there.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace workshatch::admission {

/// Bounded table that maps sessions to the engine with their cache. The entries are hints: losing
/// one costs a cache miss, never correctness. Times are milliseconds of a monotonic clock. Not safe
/// for concurrent use.
class MovedSessions {
public:
  /// @param entries maximum number of sessions
  /// @param retention_ms time after which an entry expires
  void setLimits(size_t entries, int64_t retention_ms);

  void record(uint64_t session, const std::string& engine, int64_t now_ms);
  void remove(uint64_t session);

  /// @return the engine that served the session last, or nothing if it is unknown or the entry
  /// expired.
  std::optional<std::string> find(uint64_t session, int64_t now_ms) const;

  size_t size() const { return sessions_.size(); }

private:
  struct Moved {
    std::string engine;
    int64_t at_ms = 0;
  };
  struct Age {
    uint64_t session = 0;
    int64_t at_ms = 0;
  };

  void evict(int64_t now_ms);

  size_t max_entries_ = 65'536;
  int64_t retention_ms_ = 6LL * 3600 * 1000;
  std::unordered_map<uint64_t, Moved> sessions_;
  /// Sessions in the order in which they were recorded. May contain outdated elements for sessions
  /// that were recorded again or removed.
  std::deque<Age> ages_;
};

} // namespace workshatch::admission

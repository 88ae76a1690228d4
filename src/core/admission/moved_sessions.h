/// @file
/// Where sessions have their cache that were served by another engine than the one they rank first.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace workshatch::admission {

/// A bounded table of hints; losing one costs cache hits, never correctness.
/// Not safe for concurrent use.
class MovedSessions {
public:
  void setLimits(size_t entries, int64_t retention_ms);

  void record(uint64_t session, const std::string& engine, int64_t now_ms);
  void remove(uint64_t session);

  /// @return the engine that served the session last, if remembered.
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
  std::deque<Age> ages_;
};

} // namespace workshatch::admission

/// @file
/// The number of relays that became silent without a planned stop.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace workshatch::relay {

/// Tracks relays that stopped renewing while their link stayed open, because their machine lost
/// power or was cut off. Callers that query such a relay for addresses wait for a timeout. Times
/// are milliseconds of the monotonic clock. Not safe for concurrent use.
class SilentRelays {
public:
  void recordSilent(const std::string& relay, int64_t now_ms) { since_ms_[relay] = now_ms; }
  void recordRenewal(const std::string& relay) { since_ms_.erase(relay); }
  void clear() { since_ms_.clear(); }

  /// @return how many relays are silent; a relay that has been silent for too long counts as gone.
  uint32_t count(int64_t now_ms) {
    std::erase_if(since_ms_,
                  [&](const auto& entry) { return now_ms - entry.second > kMaxSilenceMs; });
    return static_cast<uint32_t>(since_ms_.size());
  }

private:
  /// A machine that comes back does so within some ten seconds; one that does not is removed from
  /// the list of relays that callers query.
  static constexpr int64_t kMaxSilenceMs = 30'000;

  std::map<std::string, int64_t> since_ms_;
};

} // namespace workshatch::relay

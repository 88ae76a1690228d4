/// @file
/// Relays that fell silent without a planned stop.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace workshatch::relay {

/// Remembers relays that stopped renewing while their link stayed open: machines without power or
/// cut off. Callers that ask one of them where to go wait for their time limit. Times are
/// milliseconds of the monotonic clock. Not safe for concurrent use.
class SilentRelays {
public:
  void recordSilent(const std::string& relay, int64_t now_ms) { since_ms_[relay] = now_ms; }
  void recordRenewal(const std::string& relay) { since_ms_.erase(relay); }
  void clear() { since_ms_.clear(); }

  /// @return how many relays are silent; one that is silent for too long is taken to be gone.
  uint32_t count(int64_t now_ms) {
    std::erase_if(since_ms_,
                  [&](const auto& entry) { return now_ms - entry.second > kRememberedMs; });
    return static_cast<uint32_t>(since_ms_.size());
  }

private:
  /// A machine that comes back does so within some ten seconds; one that does not is taken from the
  /// list of those that callers ask.
  static constexpr int64_t kRememberedMs = 30'000;

  std::map<std::string, int64_t> since_ms_;
};

} // namespace workshatch::relay

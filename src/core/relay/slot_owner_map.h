/// @file
/// Which relay owns a runner's places, and which owners do not answer.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace workshatch::relay {

/// Ranks the relays for each runner (rendezvous hashing), so that all relays with the same list
/// name the same owner, and a relay that comes or goes changes the owner of its own part only.
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class SlotOwnerMap {
public:
  /// @return whether another list of relays than this one is in use.
  bool differ(std::vector<std::string> relays) const;

  /// Replaces the list of the relays that take claims. @return those that left it.
  std::vector<std::string> setRelays(std::vector<std::string> relays);

  /// @return the owner's address; null: no relay is known.
  const std::string* ownerOf(uint64_t runner);

  /// Notes that an owner did not answer: it is not asked for a moment.
  void recordUnanswered(const std::string& owner, int64_t now_ms);
  void recordAnswered(const std::string& owner) { silent_until_ms_.erase(owner); }
  bool isSilent(const std::string& owner, int64_t now_ms) const;

private:
  std::vector<std::string> relays_;
  /// Position in `relays_` by the runner's fingerprint, for runners asked of before.
  std::unordered_map<uint64_t, size_t> ranked_first_;
  std::unordered_map<std::string, int64_t> silent_until_ms_;
};

} // namespace workshatch::relay

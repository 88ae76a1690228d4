/// @file
/// The relay that owns each runner's slots, and the owners that do not answer.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace workshatch::relay {

/// Ranks the relays for each runner by rendezvous hashing, so that all relays with the same list
/// select the same owner, and a relay that joins or leaves changes the owner of its own share of
/// the runners only. Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class SlotOwnerMap {
public:
  /// @return whether `relays` differs from the list in use.
  bool differ(std::vector<std::string> relays) const;

  /// Replaces the list of the relays that accept claims.
  /// @return the relays that are no longer in the list.
  std::vector<std::string> setRelays(std::vector<std::string> relays);

  /// @return the address of the runner's owner, valid until the next call of `setRelays`; null if
  /// no relay is known.
  const std::string* ownerOf(uint64_t runner);

  /// Records that an owner did not answer; it receives no claims for a short time.
  void recordUnanswered(const std::string& owner, int64_t now_ms);
  void recordAnswered(const std::string& owner) { silent_until_ms_.erase(owner); }
  bool isSilent(const std::string& owner, int64_t now_ms) const;

private:
  std::vector<std::string> relays_;
  /// Index of the owner in `relays_` by the runner's fingerprint, for runners that were looked up
  /// before.
  std::unordered_map<uint64_t, size_t> owner_index_;
  std::unordered_map<std::string, int64_t> silent_until_ms_;
};

} // namespace workshatch::relay

/// @file
/// Directory of the runners that have a prompt prefix cached. One relay keeps the entry of a prefix
/// for all relays.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

namespace workshatch::relay {

/// A prompt that is sent to a runner. Prefixes and runners are identified by their fingerprints.
struct PromptTarget {
  /// Longest shared prefix of the prompt.
  uint64_t prefix = 0;
  /// Next shorter shared prefix; zero: none.
  uint64_t parent = 0;
  uint64_t runner = 0;
  /// Time in which an engine copies the prefix, or its parent, from another engine, in
  /// microseconds; zero: unknown.
  uint32_t part_copy_us = 0;
  uint32_t parent_copy_us = 0;

  /// @return key that selects the relay with the directory entry: prompts with a common parent use
  /// the same relay.
  uint64_t group() const { return parent == 0 ? prefix : parent; }
};

/// Runner from which the prompt's runner can copy a prefix that it lacks.
struct PrefixSource {
  /// False: this relay has not kept the directory entry for long enough to know.
  bool known = false;
  /// Zero: no other runner has a longer prefix cached.
  uint64_t runner = 0;
};

/// Directory of the holders of prompt prefixes, and choice of the holder from which a runner copies
/// a prefix.
///
/// Load pattern: hundreds of relays send prompts of a few kinds to a hundred runners, and all
/// prompts of a kind begin with one of a few long prefixes. A single relay sends a prompt to a
/// given runner only once in many seconds. When relays named sources by what they had sent
/// themselves and by the ranking of runners, most sources lacked the prefix during the first
/// seconds of a day, and every runner read the long prefixes again. Therefore one relay receives a
/// report of each prompt that begins with a given prefix.
///
/// An engine serves one copy at a time. In a fleet of thousands, a popular prefix is requested
/// faster than its first holder can copy it, and waiting for the copy takes longer than reading the
/// prefix. The directory therefore tracks the copies that each holder was named for, and does not
/// name a holder that has more than one to make. The runner then reads the prefix and becomes a
/// holder itself.
///
/// The report is received before the prompt is sent. A runner that has not had time to read the
/// prefix is named only if there is no other holder. An entry may be wrong, because the runner
/// evicted the prefix or a message was lost; the runner then reads the prefix, as it does without a
/// source.
///
/// Guarantee: a runner that was recorded as not having received a prompt is not named for it. Times
/// are milliseconds of the monotonic clock. Not safe for concurrent use.
class PrefixDirectory {
public:
  /// @return whether prefixes can be copied from the runner with this fingerprint.
  using Usable = std::function<bool(uint64_t runner)>;

  /// Records that the assignment of prefixes to relays has changed, so that holders may exist that
  /// were not reported to this relay.
  void recordOwnersChanged(int64_t now_ms) { tracking_since_ms_ = now_ms; }

  /// Records that the prompt goes to its runner, and chooses a source for it.
  PrefixSource sourceFor(const PromptTarget& prompt, const Usable& usable, int64_t now_ms);

  /// Records that the prompt did not reach its runner.
  void recordNotDelivered(const PromptTarget& prompt);

  /// Drops holders that have not used their prefix for the time that engines keep it.
  void dropStale(int64_t now_ms);

  size_t prefixCount() const { return prefixes_.size(); }

private:
  struct HolderState {
    /// When the first prompt with the prefix went to the runner.
    int64_t since_ms = 0;
    /// When the last prompt with the prefix went there.
    int64_t used_ms = 0;
    /// When the runner was last named as a source.
    int64_t last_named_ms = 0;
    /// Estimated end of the copies that it was named for, microseconds.
    int64_t copying_until_us = 0;
  };
  /// By fingerprint of the runner.
  using Holders = std::unordered_map<uint64_t, HolderState>;

  static bool holds(const Holders& holders, uint64_t runner, int64_t now_ms);
  static uint64_t chooseSource(Holders& holders, const PromptTarget& prompt, uint32_t copy_us,
                               const Usable& usable, int64_t now_ms);
  static void recordUse(Holders& holders, uint64_t runner, int64_t now_ms);
  void dropHolder(uint64_t prefix, uint64_t runner);

  /// By fingerprint of the prefix.
  std::unordered_map<uint64_t, Holders> prefixes_;
  /// When the assignment of prefixes to relays last changed; empty: no list of relays was received
  /// yet.
  std::optional<int64_t> tracking_since_ms_;
};

} // namespace workshatch::relay

/// @file
/// Which runners keep which shared parts of prompts, as one relay counts it for all relays.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

namespace workshatch::relay {

/// A prompt that goes to a runner. Parts and runners are named by their fingerprints.
struct PromptTarget {
  /// Last shared part of the prompt.
  uint64_t prefix = 0;
  /// Shared part before it; zero: none.
  uint64_t parent = 0;
  uint64_t runner = 0;
  /// How long an engine takes to copy all parts up to the last shared one to another, and all up to
  /// the one before it, microseconds; zero: not known.
  uint32_t part_copy_us = 0;
  uint32_t parent_copy_us = 0;

  /// What names the relay that counts: prompts that share a part ask the same one.
  uint64_t group() const { return parent == 0 ? prefix : parent; }
};

/// From which runner a prompt's runner takes the parts that it lacks.
struct PrefixSource {
  /// False: this relay has not counted for long enough to say.
  bool known = false;
  /// Zero: the runner keeps all that any other does.
  uint64_t runner = 0;
};

/// Load pattern: hundreds of relays send the prompts of a few kinds to a hundred runners; all
/// prompts of a kind begin with one of a few long parts. Each relay alone sees a runner's prompts
/// once in many seconds: by what it sent itself, and by the ranking of runners, it named a source
/// that lacked the part for most of the first seconds of a day, and every runner read the long
/// parts anew. Here one relay is told of all prompts that begin with a part.
///
/// An engine copies for one other at a time. In a fleet of thousands a part that many prompts begin
/// with is wanted faster than its first holder can copy it, and what waits there waits longer than
/// reading the part takes. So the directory counts the copies that each holder was named for, and
/// names none that has more than one to make; the runner then reads the part, and is a holder too.
///
/// It is told before the prompt is sent. A runner that has not had time to read the part is named
/// only when no other is there. What the directory says may be wrong (a runner gave the part up, a
/// message was lost): the runner then reads what it lacks, as without a source.
///
/// Guarantee: a runner that was noted as not having got a prompt is not named for it.
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class PrefixDirectory {
public:
  /// @return whether the runner with this fingerprint can be copied from.
  using Usable = std::function<bool(uint64_t runner)>;

  /// Notes that the relays that count have changed: what this one has not been told may be kept.
  void recordOwnersChanged(int64_t now_ms) { tracking_since_ms_ = now_ms; }

  /// Notes that the prompt goes to its runner, and names a source for it.
  PrefixSource sourceFor(const PromptTarget& prompt, const Usable& usable, int64_t now_ms);

  /// Notes that the prompt did not reach its runner.
  void recordNotDelivered(const PromptTarget& prompt);

  /// Drops what was not used for long.
  void dropStale(int64_t now_ms);

  size_t prefixCount() const { return prefixes_.size(); }

private:
  struct HolderState {
    /// When the first prompt with the part went there.
    int64_t since_ms = 0;
    /// When the last did.
    int64_t used_ms = 0;
    /// When it was last named as a source.
    int64_t last_named_ms = 0;
    /// Until when it makes the copies that it was named for, microseconds.
    int64_t copying_until_us = 0;
  };
  /// By fingerprint of the runner.
  using Holders = std::unordered_map<uint64_t, HolderState>;

  static bool holds(const Holders& holders, uint64_t runner, int64_t now_ms);
  static uint64_t chooseSource(Holders& holders, const PromptTarget& prompt, uint32_t copy_us,
                               const Usable& usable, int64_t now_ms);
  static void recordUse(Holders& holders, uint64_t runner, int64_t now_ms);
  void dropHolder(uint64_t prefix, uint64_t runner);

  /// By fingerprint of the part.
  std::unordered_map<uint64_t, Holders> prefixes_;
  /// Empty: no list of relays is known yet.
  std::optional<int64_t> tracking_since_ms_;
};

} // namespace workshatch::relay

#include "core/relay/prefix_directory.h"

#include <algorithm>
#include <utility>

namespace workshatch::relay {

namespace {

/// Time after its last use for which an engine very likely still has a prefix in its cache.
constexpr int64_t kCacheRetentionMs = 20'000;
/// Time after which an engine has read a prefix of a few thousand tokens, also in the first second
/// of a day, when engines read nothing but new prompts. With 250 ms, 3 to 18 in 100 more tokens
/// were read again on three test days.
constexpr int64_t kPrefillMs = 1000;
/// Time after which a new directory has seen every prefix in use. Prompts that share a prefix less
/// often than this gain little by a copy source.
constexpr int64_t kWarmUpMs = 10'000;
constexpr int64_t kUsPerMs = 1000;

} // namespace

bool PrefixDirectory::holds(const Holders& holders, uint64_t runner, int64_t now_ms) {
  const auto found = holders.find(runner);
  return found != holders.end() && now_ms - found->second.used_ms < kCacheRetentionMs;
}

/// @return the holder that has had time to read the prefix and was named longest ago, so that
/// copies are spread over the network links of all holders. If no holder has had time, the one that
/// got the prefix first. Zero: there is no holder, or all have so many copies to make that reading
/// the prefix is faster than waiting.
uint64_t PrefixDirectory::chooseSource(Holders& holders, const PromptTarget& prompt,
                                       uint32_t copy_us, const Usable& usable, int64_t now_ms) {
  const int64_t now_us = now_ms * kUsPerMs;
  const auto isReady = [&](const HolderState& state) {
    return now_ms - state.since_ms >= kPrefillMs;
  };
  const auto betterThan = [&](const HolderState& left, const HolderState& right) {
    return isReady(left) ? left.last_named_ms < right.last_named_ms
                         : left.since_ms < right.since_ms;
  };
  auto best = holders.end();
  bool any_ready = false;
  for (auto holder = holders.begin(); holder != holders.end(); ++holder) {
    const HolderState& state = holder->second;
    const bool kept = now_ms - state.used_ms < kCacheRetentionMs;
    const bool ready = isReady(state);
    if (holder->first == prompt.runner || !kept || ready < any_ready || !usable(holder->first)) {
      continue;
    }
    if (ready && !std::exchange(any_ready, true)) {
      best = holders.end();
    }
    const bool occupied = state.copying_until_us - now_us > copy_us;
    if (!occupied && (best == holders.end() || betterThan(state, best->second))) {
      best = holder;
    }
  }
  if (best == holders.end()) {
    return 0;
  }
  HolderState& source = best->second;
  source.last_named_ms = now_ms;
  source.copying_until_us = std::max(source.copying_until_us, now_us) + copy_us;
  return best->first;
}

void PrefixDirectory::recordUse(Holders& holders, uint64_t runner, int64_t now_ms) {
  HolderState& state = holders[runner];
  const bool newly_held = state.used_ms == 0 || now_ms - state.used_ms >= kCacheRetentionMs;
  if (newly_held) {
    state.since_ms = now_ms;
  }
  state.used_ms = now_ms;
}

PrefixSource PrefixDirectory::sourceFor(const PromptTarget& prompt, const Usable& usable,
                                        int64_t now_ms) {
  Holders& prefix_holders = prefixes_[prompt.prefix];
  PrefixSource source;
  source.known = tracking_since_ms_ && now_ms - *tracking_since_ms_ >= kWarmUpMs;
  if (!holds(prefix_holders, prompt.runner, now_ms)) {
    source.runner = chooseSource(prefix_holders, prompt, prompt.part_copy_us, usable, now_ms);
  }
  recordUse(prefix_holders, prompt.runner, now_ms);
  if (prompt.parent != 0) {
    Holders& parent_holders = prefixes_[prompt.parent];
    // A holder of a prefix also holds its parent.
    const bool lacks_parent = source.runner == 0 && !holds(parent_holders, prompt.runner, now_ms);
    if (lacks_parent) {
      source.runner = chooseSource(parent_holders, prompt, prompt.parent_copy_us, usable, now_ms);
    }
    recordUse(parent_holders, prompt.runner, now_ms);
  }
  source.known = source.known || source.runner != 0;
  return source;
}

void PrefixDirectory::dropHolder(uint64_t prefix, uint64_t runner) {
  const auto found = prefixes_.find(prefix);
  if (found != prefixes_.end()) {
    found->second.erase(runner);
  }
}

void PrefixDirectory::recordNotDelivered(const PromptTarget& prompt) {
  dropHolder(prompt.prefix, prompt.runner);
  dropHolder(prompt.parent, prompt.runner);
}

void PrefixDirectory::dropStale(int64_t now_ms) {
  for (auto& [prefix, holders] : prefixes_) {
    std::erase_if(holders, [&](const auto& entry) {
      return now_ms - entry.second.used_ms >= kCacheRetentionMs;
    });
  }
  std::erase_if(prefixes_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace workshatch::relay

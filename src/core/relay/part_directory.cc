#include "core/relay/part_directory.h"

#include <algorithm>
#include <utility>

namespace workshatch::relay {

namespace {

/// Engines keep what was used lately; within this time a part is very likely still there.
constexpr int64_t kKeptMs = 20'000;
/// A part of a few thousand tokens has been read by then, also in the first second of a day, when
/// engines read nothing but new prompts. With 250 ms 3 to 18 in 100 more tokens were read again
/// (three days).
constexpr int64_t kReadMs = 1000;
/// After so long every part in use has been told of: prompts of one part that come less often than
/// this gain little by a source.
constexpr int64_t kCountedMs = 10'000;
constexpr int64_t kUsPerMs = 1000;

} // namespace

bool PartDirectory::holds(const Holders& holders, uint64_t runner, int64_t now_ms) {
  const auto found = holders.find(runner);
  return found != holders.end() && now_ms - found->second.used_ms < kKeptMs;
}

/// @return the holder that has had time to read the part and was named longest ago, so that copies
/// spread over the links of all holders; if none had time, the one that got it first; zero: none,
/// or all have more copies to make than are worth waiting for.
uint64_t PartDirectory::chooseSource(Holders& holders, const PromptTarget& prompt, uint32_t copy_us,
                                     const Usable& usable, int64_t now_ms) {
  const int64_t now_us = now_ms * kUsPerMs;
  const auto isReady = [&](const Holding& holding) { return now_ms - holding.since_ms >= kReadMs; };
  const auto betterThan = [&](const Holding& left, const Holding& right) {
    return isReady(left) ? left.named_ms < right.named_ms : left.since_ms < right.since_ms;
  };
  auto best = holders.end();
  bool any_ready = false;
  for (auto holder = holders.begin(); holder != holders.end(); ++holder) {
    const Holding& holding = holder->second;
    const bool kept = now_ms - holding.used_ms < kKeptMs;
    const bool ready = isReady(holding);
    if (holder->first == prompt.runner || !kept || ready < any_ready || !usable(holder->first)) {
      continue;
    }
    if (ready && !std::exchange(any_ready, true)) {
      best = holders.end();
    }
    const bool occupied = holding.copying_until_us - now_us > copy_us;
    if (!occupied && (best == holders.end() || betterThan(holding, best->second))) {
      best = holder;
    }
  }
  if (best == holders.end()) {
    return 0;
  }
  Holding& source = best->second;
  source.named_ms = now_ms;
  source.copying_until_us = std::max(source.copying_until_us, now_us) + copy_us;
  return best->first;
}

void PartDirectory::noteUse(Holders& holders, uint64_t runner, int64_t now_ms) {
  Holding& holding = holders[runner];
  const bool anew = holding.used_ms == 0 || now_ms - holding.used_ms >= kKeptMs;
  if (anew) {
    holding.since_ms = now_ms;
  }
  holding.used_ms = now_ms;
}

PartSource PartDirectory::sourceFor(const PromptTarget& prompt, const Usable& usable,
                                    int64_t now_ms) {
  Holders& of_part = parts_[prompt.part];
  PartSource source;
  source.known = counting_since_ms_ && now_ms - *counting_since_ms_ >= kCountedMs;
  if (!holds(of_part, prompt.runner, now_ms)) {
    source.runner = chooseSource(of_part, prompt, prompt.part_copy_us, usable, now_ms);
  }
  noteUse(of_part, prompt.runner, now_ms);
  if (prompt.parent != 0) {
    Holders& of_parent = parts_[prompt.parent];
    // A holder of the part holds its parent too.
    const bool lacks_parent = source.runner == 0 && !holds(of_parent, prompt.runner, now_ms);
    if (lacks_parent) {
      source.runner = chooseSource(of_parent, prompt, prompt.parent_copy_us, usable, now_ms);
    }
    noteUse(of_parent, prompt.runner, now_ms);
  }
  source.known = source.known || source.runner != 0;
  return source;
}

void PartDirectory::dropHolding(uint64_t part, uint64_t runner) {
  const auto found = parts_.find(part);
  if (found != parts_.end()) {
    found->second.erase(runner);
  }
}

void PartDirectory::noteNotSent(const PromptTarget& prompt) {
  dropHolding(prompt.part, prompt.runner);
  dropHolding(prompt.parent, prompt.runner);
}

void PartDirectory::forgetStale(int64_t now_ms) {
  for (auto& [part, holders] : parts_) {
    std::erase_if(holders,
                  [&](const auto& entry) { return now_ms - entry.second.used_ms >= kKeptMs; });
  }
  std::erase_if(parts_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace workshatch::relay

#include "core/relay/prefix_sources.h"

#include "core/routing/rendezvous.h"

namespace workshatch::relay {

namespace {

/// Time after its last use for which an engine very likely still has a prefix in its cache.
constexpr int64_t kCacheRetentionMs = 10'000;
/// A runner that was listed more recently has not yet received the prefixes for which it ranks
/// first. The runner that ranked first before it still has them.
constexpr int64_t kNewRunnerMs = 10'000;
/// Maximum number of remembered prefixes. At 2,500 requests per second over 390 relays, one relay
/// sends 64 prompts in `kCacheRetentionMs`, each with two prefixes.
constexpr size_t kMaxRememberedPrefixes = 1024;

bool isNew(const Runner& runner, int64_t now_ms) {
  return runner.listed_since_ms != 0 && now_ms - runner.listed_since_ms < kNewRunnerMs;
}

bool wasRecentlyAvoided(const Runner& runner, int64_t now_ms) {
  return runner.avoid_until_ms != 0 && now_ms - runner.avoid_until_ms < kCacheRetentionMs;
}

/// @return the runner that ranks first for a prefix among those that `usable` accepts; null: none.
template <typename Usable>
std::shared_ptr<Runner> firstRanked(const SourceQuery& query, uint64_t prefix, Usable usable) {
  std::shared_ptr<Runner> best;
  uint64_t best_weight = 0;
  for (const auto& runner : *query.runners) {
    if (!usable(*runner)) {
      continue;
    }
    const uint64_t weight = routing::rendezvousWeight(prefix, runner->entry.id());
    if (!best || weight > best_weight) {
      best = runner;
      best_weight = weight;
    }
  }
  return best;
}

/// @return the runner that ranked first for the prefix before the newest runners were listed; null:
/// none.
std::shared_ptr<Runner> previousHome(const SourceQuery& query) {
  return firstRanked(query, query.prefix, [&](const Runner& runner) {
    const bool is_chosen = &runner == query.chosen;
    return !isNew(runner, query.now_ms) && (is_chosen || !query.avoided(runner));
  });
}

/// @return the runner that ranks first for a prefix, the chosen one excepted; null: none.
std::shared_ptr<Runner> nextInRanking(const SourceQuery& query, uint64_t prefix) {
  return firstRanked(query, prefix, [&](const Runner& runner) {
    return &runner != query.chosen && !query.avoided(runner);
  });
}

} // namespace

void PrefixSources::record(uint64_t prefix, const std::shared_ptr<Runner>& runner, int64_t now_ms) {
  if (prefix == 0) {
    return;
  }
  if (last_sent_.size() >= kMaxRememberedPrefixes && !last_sent_.contains(prefix)) {
    std::erase_if(last_sent_, [&](const auto& entry) {
      return now_ms - entry.second.at_ms > kCacheRetentionMs;
    });
  }
  if (last_sent_.size() < kMaxRememberedPrefixes || last_sent_.contains(prefix)) {
    last_sent_[prefix] = Sent{.runner = runner, .at_ms = now_ms};
  }
}

void PrefixSources::recordSent(uint64_t prefix, uint64_t parent,
                               const std::shared_ptr<Runner>& runner, int64_t now_ms) {
  record(prefix, runner, now_ms);
  record(parent, runner, now_ms);
}

std::shared_ptr<Runner> PrefixSources::lastSentTo(uint64_t prefix, const SourceQuery& query) const {
  const auto found = last_sent_.find(prefix);
  if (found == last_sent_.end() || query.now_ms - found->second.at_ms > kCacheRetentionMs) {
    return nullptr;
  }
  const auto runner = found->second.runner.lock();
  const bool usable =
      runner && !runner->gone && (runner.get() == query.chosen || !query.avoided(*runner));
  return usable ? runner : nullptr;
}

std::shared_ptr<Runner> PrefixSources::sourceFor(const SourceQuery& query) const {
  const auto other = [&](std::shared_ptr<Runner> runner) {
    return runner.get() == query.chosen ? nullptr : std::move(runner);
  };
  if (const auto sent = lastSentTo(query.prefix, query)) {
    return other(sent);
  }
  const auto home = previousHome(query);
  if (home && home.get() != query.chosen) {
    return home;
  }
  if (!home || wasRecentlyAvoided(*query.chosen, query.now_ms)) {
    return nextInRanking(query, query.prefix);
  }
  // If any runner has the prefix, it is the chosen one. The parent, which many prefixes share, may
  // be cached on other runners.
  if (query.parent == 0) {
    return nullptr;
  }
  if (const auto sent = lastSentTo(query.parent, query)) {
    return other(sent);
  }
  // Nearly every runner has a parent that many prompts share. All relays copy it from the same
  // runner until they have sent it to another one themselves.
  return nextInRanking(query, query.parent);
}

} // namespace workshatch::relay

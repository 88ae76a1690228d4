#include "core/relay/prefix_sources.h"

#include "core/routing/rendezvous.h"

namespace workshatch::relay {

namespace {

/// Engines keep what was used lately; within this time a part is very likely still there.
constexpr int64_t kCacheRetentionMs = 10'000;
/// A runner that is listed for less has not had the parts that rank it first; the one that ranked
/// first before it does.
constexpr int64_t kNewRunnerMs = 10'000;
/// Parts remembered at most. At 2,500 requests a second before 390 relays one relay sends 64
/// prompts in `kCacheRetentionMs`, each with two parts.
constexpr size_t kMaxRememberedPrefixes = 1024;

bool isNew(const Runner& runner, int64_t now_ms) {
  return runner.listed_since_ms != 0 && now_ms - runner.listed_since_ms < kNewRunnerMs;
}

bool wasAvoidedLately(const Runner& runner, int64_t now_ms) {
  return runner.avoid_until_ms != 0 && now_ms - runner.avoid_until_ms < kCacheRetentionMs;
}

/// @return of the runners that `usable` accepts, the one that ranks first for a part; null: none.
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

/// @return the runner that ranked first for the part before the newest were listed; null: none.
std::shared_ptr<Runner> previousHome(const SourceQuery& query) {
  return firstRanked(query, query.prefix, [&](const Runner& runner) {
    const bool here = &runner == query.chosen;
    return !isNew(runner, query.now_ms) && (here || !query.avoided(runner));
  });
}

/// @return the runner that ranks first for a part beside the chosen one; null: none.
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
  if (!home || wasAvoidedLately(*query.chosen, query.now_ms)) {
    return nextInRanking(query, query.prefix);
  }
  // The part is here or nowhere; the one before it, which many parts share, may be elsewhere.
  if (query.parent == 0) {
    return nullptr;
  }
  if (const auto sent = lastSentTo(query.parent, query)) {
    return other(sent);
  }
  // A part that many share is nearly everywhere; all relays take it from one runner, until they
  // have seen it go elsewhere.
  return nextInRanking(query, query.parent);
}

} // namespace workshatch::relay

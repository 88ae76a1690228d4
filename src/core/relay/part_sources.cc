#include "core/relay/part_sources.h"

#include "core/routing/rendezvous.h"

namespace workshatch::relay {

namespace {

/// Engines keep what was used lately; within this time a part is very likely still there.
constexpr int64_t kKeptMs = 10'000;
/// A runner that is listed for less has not had the parts that rank it first; the one that ranked
/// first before it does.
constexpr int64_t kNewMs = 10'000;
/// Parts remembered at most. At 2,500 requests a second before 390 relays one relay sends 64
/// prompts in `kKeptMs`, each with two parts.
constexpr size_t kMostRemembered = 1024;

bool isNew(const Runner& runner, int64_t now_ms) {
  return runner.listed_since_ms != 0 && now_ms - runner.listed_since_ms < kNewMs;
}

bool wasAvoidedLately(const Runner& runner, int64_t now_ms) {
  return runner.avoid_until_ms != 0 && now_ms - runner.avoid_until_ms < kKeptMs;
}

/// @return of the runners that `usable` accepts, the one that ranks first for a part; null: none.
template <typename Usable>
std::shared_ptr<Runner> firstRanked(const SourceQuestion& question, uint64_t part, Usable usable) {
  std::shared_ptr<Runner> best;
  uint64_t best_weight = 0;
  for (const auto& runner : *question.runners) {
    if (!usable(*runner)) {
      continue;
    }
    const uint64_t weight = routing::rendezvousWeight(part, runner->entry.id());
    if (!best || weight > best_weight) {
      best = runner;
      best_weight = weight;
    }
  }
  return best;
}

/// @return the runner that ranked first for the part before the newest were listed; null: none.
std::shared_ptr<Runner> formerHome(const SourceQuestion& question) {
  return firstRanked(question, question.part, [&](const Runner& runner) {
    const bool here = &runner == question.chosen;
    return !isNew(runner, question.now_ms) && (here || !question.avoided(runner));
  });
}

/// @return the runner that ranks first for a part beside the chosen one; null: none.
std::shared_ptr<Runner> nextInRanking(const SourceQuestion& question, uint64_t part) {
  return firstRanked(question, part, [&](const Runner& runner) {
    return &runner != question.chosen && !question.avoided(runner);
  });
}

} // namespace

void PartSources::note(uint64_t part, const std::shared_ptr<Runner>& runner, int64_t now_ms) {
  if (part == 0) {
    return;
  }
  if (sent_.size() >= kMostRemembered && !sent_.contains(part)) {
    std::erase_if(sent_, [&](const auto& entry) { return now_ms - entry.second.at_ms > kKeptMs; });
  }
  if (sent_.size() < kMostRemembered || sent_.contains(part)) {
    sent_[part] = Sent{.runner = runner, .at_ms = now_ms};
  }
}

void PartSources::noteSent(uint64_t part, uint64_t parent, const std::shared_ptr<Runner>& runner,
                           int64_t now_ms) {
  note(part, runner, now_ms);
  note(parent, runner, now_ms);
}

std::shared_ptr<Runner> PartSources::lastSentTo(uint64_t part,
                                                const SourceQuestion& question) const {
  const auto found = sent_.find(part);
  if (found == sent_.end() || question.now_ms - found->second.at_ms > kKeptMs) {
    return nullptr;
  }
  const auto runner = found->second.runner.lock();
  const bool usable =
      runner && !runner->gone && (runner.get() == question.chosen || !question.avoided(*runner));
  return usable ? runner : nullptr;
}

std::shared_ptr<Runner> PartSources::sourceFor(const SourceQuestion& question) const {
  const auto other = [&](std::shared_ptr<Runner> runner) {
    return runner.get() == question.chosen ? nullptr : std::move(runner);
  };
  if (const auto sent = lastSentTo(question.part, question)) {
    return other(sent);
  }
  const auto home = formerHome(question);
  if (home && home.get() != question.chosen) {
    return home;
  }
  if (!home || wasAvoidedLately(*question.chosen, question.now_ms)) {
    return nextInRanking(question, question.part);
  }
  // The part is here or nowhere; the one before it, which many parts share, may be elsewhere.
  if (question.parent == 0) {
    return nullptr;
  }
  if (const auto sent = lastSentTo(question.parent, question)) {
    return other(sent);
  }
  // A part that many share is nearly everywhere; all relays take it from one runner, until they
  // have seen it go elsewhere.
  return nextInRanking(question, question.parent);
}

} // namespace workshatch::relay

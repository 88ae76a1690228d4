/// @file
/// Choice of the runner from which the cached prefixes of a prompt are copied.
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/prefix_sources.h"
#include "core/routing/rendezvous.h"

namespace workshatch::test {

namespace {

using Runners = std::vector<std::shared_ptr<relay::Runner>>;

constexpr uint64_t kPrefix = 42;
constexpr uint64_t kParent = 7;
constexpr int64_t kNowMs = 100'000;

std::shared_ptr<relay::Runner> runnerNamed(const std::string& id) {
  auto runner = std::make_shared<relay::Runner>();
  runner->entry.set_id(id);
  return runner;
}

/// @return runners in the order of their ranking for the prefix.
Runners rankedFor(uint64_t prefix, int count) {
  Runners runners;
  for (int i = 0; i < count; ++i) {
    runners.push_back(runnerNamed("r" + std::to_string(i)));
  }
  return routing::rank(prefix, std::move(runners),
                       [](const auto& runner) -> const std::string& { return runner->entry.id(); });
}

relay::SourceQuery query(const Runners& runners, const relay::Runner& chosen,
                         int64_t now_ms = kNowMs) {
  return relay::SourceQuery{
      .prefix = kPrefix,
      .parent = kParent,
      .chosen = &chosen,
      .runners = &runners,
      .avoided = [now_ms](const relay::Runner& runner) { return runner.avoid_until_ms > now_ms; },
      .now_ms = now_ms};
}

} // namespace

TEST_CASE("A prefix is copied from the runner to which this relay recently sent it") {
  const Runners ranked = rankedFor(kPrefix, 5);
  relay::PrefixSources sources;
  sources.recordSent(kPrefix, kParent, ranked[3], kNowMs - 1'000);
  CHECK(sources.sourceFor(query(ranked, *ranked[0])) == ranked[3]);
  // The chosen runner has the prefix itself.
  CHECK(sources.sourceFor(query(ranked, *ranked[3])) == nullptr);
  // The prefix was sent there too long ago, so that the ranking is used.
  CHECK(sources.sourceFor(query(ranked, *ranked[1], kNowMs + 20'000)) == ranked[0]);
  // The runner is avoided now.
  ranked[3]->avoid_until_ms = kNowMs + 1;
  CHECK(sources.sourceFor(query(ranked, *ranked[1])) == ranked[0]);
  ranked[3]->avoid_until_ms = 0;
  ranked[3]->gone = true;
  CHECK(sources.sourceFor(query(ranked, *ranked[1])) == ranked[0]);
}

TEST_CASE("A new runner copies prefixes from the first-ranked runner among those listed before") {
  const Runners ranked = rankedFor(kPrefix, 5);
  ranked[0]->listed_since_ms = kNowMs - 1'000;
  ranked[1]->listed_since_ms = kNowMs - 1'000;
  const relay::PrefixSources sources;
  CHECK(sources.sourceFor(query(ranked, *ranked[0])) == ranked[2]);
  // By then the first runner has the prefix.
  CHECK(sources.sourceFor(query(ranked, *ranked[1], kNowMs + 60'000)) == ranked[0]);
}

TEST_CASE("A home that was recently avoided copies prefixes from the next runner in the ranking") {
  const Runners ranked = rankedFor(kPrefix, 5);
  const relay::PrefixSources sources;
  ranked[0]->avoid_until_ms = kNowMs - 1'000;
  CHECK(sources.sourceFor(query(ranked, *ranked[0])) == ranked[1]);
}

TEST_CASE("At the home of a prefix only the parent is copied from another runner") {
  const Runners ranked = rankedFor(kPrefix, 5);
  relay::PrefixSources sources;
  // It is not known where the parent was sent: all relays copy it from the runner that ranks first
  // for it.
  const auto source = sources.sourceFor(query(ranked, *ranked[0]));
  REQUIRE(source != nullptr);
  for (const auto& runner : ranked) {
    const bool better = routing::rendezvousWeight(kParent, runner->entry.id()) >
                        routing::rendezvousWeight(kParent, source->entry.id());
    CHECK((runner == ranked[0] || !better));
  }
  sources.recordSent(kPrefix + 1, kParent, ranked[4], kNowMs - 1'000);
  CHECK(sources.sourceFor(query(ranked, *ranked[0])) == ranked[4]);
}

TEST_CASE("The number of remembered prefixes is bounded, and old ones are evicted") {
  const Runners ranked = rankedFor(kPrefix, 3);
  relay::PrefixSources sources;
  for (uint64_t prefix = 1'000; prefix < 3'000; ++prefix) {
    sources.recordSent(prefix, 0, ranked[2], kNowMs - 60'000);
  }
  sources.recordSent(kPrefix, kParent, ranked[2], kNowMs);
  CHECK(sources.sourceFor(query(ranked, *ranked[0])) == ranked[2]);
}

} // namespace workshatch::test

/// @file
/// Directory of cached prompt prefixes: copy sources by reported prompts, and a simulated start of
/// a day.
#include <set>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/prefix_directory.h"
#include "core/routing/rendezvous.h"
#include "ports/seeded_random.h"

namespace workshatch::test {

namespace {

using relay::PrefixDirectory;
using relay::PrefixSource;

constexpr uint64_t kPrefix = 100;
constexpr uint64_t kOtherPrefix = 101;
constexpr uint64_t kParent = 7;
/// Time after which a directory has received reports of all prefixes in use.
constexpr int64_t kWarmUpMs = 10'000;

bool any(uint64_t) { return true; }

PrefixDirectory warmDirectory() {
  PrefixDirectory directory;
  directory.recordOwnersChanged(0);
  return directory;
}

} // namespace

TEST_CASE("A runner copies a prefix from a holder and is a holder itself afterwards") {
  PrefixDirectory directory = warmDirectory();
  const int64_t now = kWarmUpMs;
  CHECK(directory.sourceFor({.prefix = kPrefix, .parent = kParent, .runner = 1}, any, now).runner ==
        0);
  CHECK(directory.sourceFor({.prefix = kPrefix, .parent = kParent, .runner = 2}, any, now + 1500)
            .runner == 1);
  CHECK(directory.sourceFor({.prefix = kPrefix, .parent = kParent, .runner = 2}, any, now + 1900)
            .runner == 0);
}

TEST_CASE("If no runner has the prefix, its parent is copied from a holder of the parent") {
  PrefixDirectory directory = warmDirectory();
  const int64_t now = kWarmUpMs;
  directory.sourceFor({.prefix = kPrefix, .parent = kParent, .runner = 1}, any, now);
  const PrefixSource source = directory.sourceFor(
      {.prefix = kOtherPrefix, .parent = kParent, .runner = 2}, any, now + 1500);
  CHECK(source.known);
  CHECK(source.runner == 1);
  // The runner has the parent now, and no other runner has the prefix.
  CHECK(directory.sourceFor({.prefix = 102, .parent = kParent, .runner = 2}, any, now + 1900)
            .runner == 0);
}

TEST_CASE(
    "A runner that has not had time to read the prefix is named only without another holder") {
  PrefixDirectory directory = warmDirectory();
  const int64_t now = kWarmUpMs;
  directory.sourceFor({.prefix = kPrefix, .runner = 1}, any, now);
  CHECK(directory.sourceFor({.prefix = kPrefix, .runner = 2}, any, now + 10).runner == 1);
  CHECK(directory.sourceFor({.prefix = kPrefix, .runner = 3}, any, now + 20).runner == 1);
  // Later all three are ready and are named in turn.
  std::set<uint64_t> named;
  for (uint64_t runner = 10; runner < 13; ++runner) {
    named.insert(directory
                     .sourceFor({.prefix = kPrefix, .runner = runner}, any,
                                now + 2000 + static_cast<int64_t>(runner))
                     .runner);
  }
  CHECK(named.size() == 3);
}

TEST_CASE("A runner that is unusable, evicted the prefix or never received it is not named") {
  PrefixDirectory directory = warmDirectory();
  const int64_t now = kWarmUpMs;
  directory.sourceFor({.prefix = kPrefix, .parent = kParent, .runner = 1}, any, now);
  const auto without_first = [](uint64_t runner) { return runner != 1; };
  CHECK(
      directory
          .sourceFor({.prefix = kPrefix, .parent = kParent, .runner = 2}, without_first, now + 1500)
          .runner == 0);
  directory.recordNotDelivered({.prefix = kPrefix, .parent = kParent, .runner = 2});
  CHECK(
      directory
          .sourceFor({.prefix = kPrefix, .parent = kParent, .runner = 3}, without_first, now + 1900)
          .runner == 0);
  // Nothing was used for so long that engines have evicted the prefix.
  CHECK(directory.sourceFor({.prefix = kPrefix, .parent = kParent, .runner = 4}, any, now + 60'000)
            .runner == 0);
  directory.dropStale(now + 120'000);
  CHECK(directory.prefixCount() == 0);
}

TEST_CASE("A new directory names only holders that were reported to it") {
  PrefixDirectory directory;
  CHECK_FALSE(directory.sourceFor({.prefix = kPrefix, .runner = 1}, any, 0).known);
  directory.recordOwnersChanged(1000);
  CHECK_FALSE(directory.sourceFor({.prefix = kOtherPrefix, .runner = 1}, any, 2000).known);
  const PrefixSource reported = directory.sourceFor({.prefix = kPrefix, .runner = 2}, any, 2000);
  CHECK(reported.known);
  CHECK(reported.runner == 1);
  CHECK(directory.sourceFor({.prefix = 200, .runner = 1}, any, 1000 + kWarmUpMs).known);
}

TEST_CASE(
    "Most of 90 engines copy four long prefixes at the start of a day instead of reading them") {
  // 149 prompts per second with 589 prefixes that share four parents; each prefix has its home.
  constexpr uint64_t kEngines = 90;
  constexpr uint64_t kPrefixes = 589;
  constexpr uint64_t kParents = 4;
  constexpr int64_t kDurationMs = 10'000;
  constexpr uint64_t kPromptsPerSecond = 149;
  constexpr int64_t kReadMs = 60;
  PrefixDirectory directory;
  directory.recordOwnersChanged(0);
  SeededRandom random(3);
  // Time at which each engine has read or copied a parent.
  std::vector<std::vector<int64_t>> ready(kEngines + 1, std::vector<int64_t>(kParents + 1, -1));
  uint64_t read = 0;
  uint64_t copied = 0;
  for (int64_t now = 1; now < kDurationMs; ++now) {
    if (random.below(1000) >= kPromptsPerSecond) {
      continue;
    }
    const uint64_t prefix = 1000 + random.below(kPrefixes);
    const uint64_t parent = 1 + prefix % kParents;
    const uint64_t home = 1 + prefix / kParents % kEngines;
    const PrefixSource source =
        directory.sourceFor({.prefix = prefix, .parent = parent, .runner = home}, any, now);
    int64_t& have = ready[home][parent];
    if (have >= 0) {
      continue;
    }
    const bool holds = source.runner != 0 && ready[source.runner][parent] >= 0 &&
                       ready[source.runner][parent] <= now;
    ++(holds ? copied : read);
    have = now + kReadMs;
  }
  MESSAGE("parents read ", read, " times, copied ", copied);
  CHECK(copied > 250);
  // Without the directory, each of the 360 pairs of engine and parent was read until a relay had
  // sent the parent itself.
  CHECK(read <= 40);
}

} // namespace workshatch::test

/// @file
/// Who keeps which parts of prompts: sources by what was sent, and the start of a day replayed.
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

constexpr uint64_t kPart = 100;
constexpr uint64_t kOtherPart = 101;
constexpr uint64_t kParent = 7;
/// By then a directory has been told of all parts in use.
constexpr int64_t kWarmUpMs = 10'000;

bool any(uint64_t) { return true; }

PrefixDirectory countedDirectory() {
  PrefixDirectory directory;
  directory.recordOwnersChanged(0);
  return directory;
}

} // namespace

TEST_CASE("A prompt's runner takes the part from one that had it, and keeps it itself then") {
  PrefixDirectory directory = countedDirectory();
  const int64_t now = kWarmUpMs;
  CHECK(directory.sourceFor({.prefix = kPart, .parent = kParent, .runner = 1}, any, now).runner ==
        0);
  CHECK(directory.sourceFor({.prefix = kPart, .parent = kParent, .runner = 2}, any, now + 1500)
            .runner == 1);
  CHECK(directory.sourceFor({.prefix = kPart, .parent = kParent, .runner = 2}, any, now + 1900)
            .runner == 0);
}

TEST_CASE("Where nobody has the part, the part before it is taken from who has that") {
  PrefixDirectory directory = countedDirectory();
  const int64_t now = kWarmUpMs;
  directory.sourceFor({.prefix = kPart, .parent = kParent, .runner = 1}, any, now);
  const PrefixSource source =
      directory.sourceFor({.prefix = kOtherPart, .parent = kParent, .runner = 2}, any, now + 1500);
  CHECK(source.known);
  CHECK(source.runner == 1);
  // The runner has the parent now, and the part is nowhere else.
  CHECK(directory.sourceFor({.prefix = 102, .parent = kParent, .runner = 2}, any, now + 1900)
            .runner == 0);
}

TEST_CASE("A runner that has not had time to read the part is named only without another") {
  PrefixDirectory directory = countedDirectory();
  const int64_t now = kWarmUpMs;
  directory.sourceFor({.prefix = kPart, .runner = 1}, any, now);
  CHECK(directory.sourceFor({.prefix = kPart, .runner = 2}, any, now + 10).runner == 1);
  CHECK(directory.sourceFor({.prefix = kPart, .runner = 3}, any, now + 20).runner == 1);
  // Later all three are ready, and take turns.
  std::set<uint64_t> named;
  for (uint64_t runner = 10; runner < 13; ++runner) {
    named.insert(directory
                     .sourceFor({.prefix = kPart, .runner = runner}, any,
                                now + 2000 + static_cast<int64_t>(runner))
                     .runner);
  }
  CHECK(named.size() == 3);
}

TEST_CASE("A runner that can't be copied from, lost the part or never got it is not named") {
  PrefixDirectory directory = countedDirectory();
  const int64_t now = kWarmUpMs;
  directory.sourceFor({.prefix = kPart, .parent = kParent, .runner = 1}, any, now);
  const auto without_first = [](uint64_t runner) { return runner != 1; };
  CHECK(directory
            .sourceFor({.prefix = kPart, .parent = kParent, .runner = 2}, without_first, now + 1500)
            .runner == 0);
  directory.recordNotDelivered({.prefix = kPart, .parent = kParent, .runner = 2});
  CHECK(directory
            .sourceFor({.prefix = kPart, .parent = kParent, .runner = 3}, without_first, now + 1900)
            .runner == 0);
  // Nothing was asked for so long that engines have given the part up.
  CHECK(directory.sourceFor({.prefix = kPart, .parent = kParent, .runner = 4}, any, now + 60'000)
            .runner == 0);
  directory.dropStale(now + 120'000);
  CHECK(directory.prefixCount() == 0);
}

TEST_CASE("A directory that has not counted for long says only what it was told") {
  PrefixDirectory directory;
  CHECK_FALSE(directory.sourceFor({.prefix = kPart, .runner = 1}, any, 0).known);
  directory.recordOwnersChanged(1000);
  CHECK_FALSE(directory.sourceFor({.prefix = kOtherPart, .runner = 1}, any, 2000).known);
  const PrefixSource told = directory.sourceFor({.prefix = kPart, .runner = 2}, any, 2000);
  CHECK(told.known);
  CHECK(told.runner == 1);
  CHECK(directory.sourceFor({.prefix = 200, .runner = 1}, any, 1000 + kWarmUpMs).known);
}

TEST_CASE("The start of a day: the long parts of four kinds are read by few of ninety engines") {
  // 149 prompts a second of 589 parts that begin with one of four; each part has its home.
  constexpr uint64_t kEngines = 90;
  constexpr uint64_t kParts = 589;
  constexpr uint64_t kParents = 4;
  constexpr int64_t kLengthMs = 10'000;
  constexpr uint64_t kPromptsPerSecond = 149;
  constexpr int64_t kReadMs = 60;
  PrefixDirectory directory;
  directory.recordOwnersChanged(0);
  SeededRandom random(3);
  // When each engine has read or copied a parent.
  std::vector<std::vector<int64_t>> ready(kEngines + 1, std::vector<int64_t>(kParents + 1, -1));
  uint64_t read = 0;
  uint64_t copied = 0;
  for (int64_t now = 1; now < kLengthMs; ++now) {
    if (random.below(1000) >= kPromptsPerSecond) {
      continue;
    }
    const uint64_t prefix = 1000 + random.below(kParts);
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
  // Without the directory each of the 360 was read until a relay had sent the part itself.
  CHECK(read <= 40);
}

} // namespace workshatch::test

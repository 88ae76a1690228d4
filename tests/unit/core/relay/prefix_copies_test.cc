/// @file
/// Copies of a long part that many prompts begin with, replayed: thousands of engines, each of
/// which needs the part in the first seconds of a day.
#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/prefix_directory.h"

namespace workshatch::test {

namespace {

/// A part of 2,500 tokens: 18 ms to copy it over an idle link, 60 ms to read it.
constexpr uint32_t kCopyUs = 18'000;
constexpr int64_t kReadMs = 60;
constexpr uint64_t kParent = 7;

/// Engines that get one prompt each, all with the same part before their own.
class FirstSeconds {
public:
  /// @param prompts_per_s how many begin to need the part in a second
  explicit FirstSeconds(int64_t prompts_per_s) : between_ms_(1000.0 / prompts_per_s) {
    directory_.recordOwnersChanged(-60'000);
  }

  void play(int64_t seconds) {
    for (double at_ms = 0; at_ms < 1000.0 * static_cast<double>(seconds); at_ms += between_ms_) {
      prompt(static_cast<int64_t>(at_ms));
    }
    std::sort(waits_ms_.begin(), waits_ms_.end());
  }

  int64_t waitMs(double part) const {
    return waits_ms_[static_cast<size_t>(part * static_cast<double>(waits_ms_.size() - 1))];
  }
  size_t read() const { return read_; }
  size_t prompts() const { return waits_ms_.size(); }

private:
  /// An engine copies the part from the source if that keeps it by then, after the copies that the
  /// source has begun; else it reads it.
  void prompt(int64_t now_ms) {
    const uint64_t runner = ++runners_;
    const relay::PrefixSource source = directory_.sourceFor(
        relay::PromptTarget{.prefix = 1000 + runner,
                            .parent = kParent,
                            .runner = runner,
                            .parent_copy_us = kCopyUs},
        [](uint64_t) { return true; }, now_ms);
    const auto kept = has_from_ms_.find(source.runner);
    int64_t ready_ms = now_ms + kReadMs;
    if (kept != has_from_ms_.end() && kept->second <= now_ms) {
      double& free_ms = link_free_ms_[source.runner];
      free_ms = std::max(free_ms, static_cast<double>(now_ms)) + kCopyUs / 1000.0;
      ready_ms = static_cast<int64_t>(free_ms);
    } else {
      ++read_;
    }
    has_from_ms_[runner] = ready_ms;
    waits_ms_.push_back(ready_ms - now_ms);
  }

  const double between_ms_;
  relay::PrefixDirectory directory_;
  uint64_t runners_ = 0;
  /// Since when an engine keeps the part, and when its link is free of copies.
  std::unordered_map<uint64_t, int64_t> has_from_ms_;
  std::unordered_map<uint64_t, double> link_free_ms_;
  std::vector<int64_t> waits_ms_;
  size_t read_ = 0;
};

} // namespace

TEST_CASE("Engines that all need one long part do not queue for it at the first that has it") {
  // A hundred relays' fleet brings some 8 such prompts a second, a thousand relays' 80, twice that
  // fleet 160.
  for (const int64_t prompts_per_s : {8, 80, 160}) {
    CAPTURE(prompts_per_s);
    FirstSeconds day(prompts_per_s);
    day.play(4);
    CHECK(day.waitMs(0.99) <= 2 * kReadMs);
    // Most take the part from another engine all the same: to read it costs that engine more.
    CHECK(static_cast<double>(day.read()) <= 0.35 * static_cast<double>(day.prompts()));
  }
}

TEST_CASE("Copies are spread over all holders that have had time to read the part") {
  relay::PrefixDirectory directory;
  directory.recordOwnersChanged(-60'000);
  const auto any = [](uint64_t) { return true; };
  const auto ask = [&](uint64_t runner, int64_t now_ms) {
    return directory
        .sourceFor(
            relay::PromptTarget{.prefix = kParent, .runner = runner, .part_copy_us = kCopyUs}, any,
            now_ms)
        .runner;
  };
  CHECK(ask(1, 0) == 0);
  ask(2, 0);
  // Both have it by now; each is asked for one copy, and one more behind it.
  const uint64_t first = ask(3, 3000);
  const uint64_t second = ask(4, 3000);
  CHECK(first != second);
  CHECK(ask(5, 3000) != 0);
  CHECK(ask(6, 3000) != 0);
  CHECK(ask(7, 3000) == 0);
  // The links are free again.
  CHECK(ask(8, 3200) != 0);
}

TEST_CASE("Where the time of a copy is not known, sources are named as they are") {
  relay::PrefixDirectory directory;
  directory.recordOwnersChanged(-60'000);
  for (uint64_t runner = 1; runner < 50; ++runner) {
    const auto now_ms = static_cast<int64_t>(runner);
    const auto source = directory.sourceFor(
        relay::PromptTarget{.prefix = kParent, .runner = runner}, [](uint64_t) { return true; },
        now_ms);
    CHECK(source.runner == (runner == 1 ? 0U : 1U));
  }
}

} // namespace workshatch::test

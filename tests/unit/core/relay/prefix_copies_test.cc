/// @file
/// Simulates the copies of a long prefix that many prompts share: thousands of engines need the
/// prefix in the first seconds of a day.
#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/prefix_directory.h"

namespace workshatch::test {

namespace {

/// A prefix of 2,500 tokens: 18 ms to copy it over an idle link, 60 ms to read it.
constexpr uint32_t kCopyUs = 18'000;
constexpr int64_t kReadMs = 60;
constexpr uint64_t kParent = 7;

/// Engines that get one prompt each, all with the same parent prefix.
class StartOfDay {
public:
  /// @param prompts_per_s number of engines that first need the prefix in a second
  explicit StartOfDay(int64_t prompts_per_s) : between_ms_(1000.0 / prompts_per_s) {
    directory_.recordOwnersChanged(-60'000);
  }

  void run(int64_t seconds) {
    for (double at_ms = 0; at_ms < 1000.0 * static_cast<double>(seconds); at_ms += between_ms_) {
      prompt(static_cast<int64_t>(at_ms));
    }
    std::sort(waits_ms_.begin(), waits_ms_.end());
  }

  int64_t waitMs(double quantile) const {
    return waits_ms_[static_cast<size_t>(quantile * static_cast<double>(waits_ms_.size() - 1))];
  }
  size_t read() const { return read_; }
  size_t prompts() const { return waits_ms_.size(); }

private:
  /// An engine copies the prefix from the source if the source has it by then, after the copies
  /// that the source has begun. Otherwise it reads the prefix.
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
  /// When an engine gets the prefix, and when its link has finished its copies.
  std::unordered_map<uint64_t, int64_t> has_from_ms_;
  std::unordered_map<uint64_t, double> link_free_ms_;
  std::vector<int64_t> waits_ms_;
  size_t read_ = 0;
};

} // namespace

TEST_CASE("Engines that need the same long prefix do not queue for copies from its first holder") {
  // A fleet of a hundred relays sends some 8 such prompts per second, one of a thousand relays 80,
  // and one of twice that size 160.
  for (const int64_t prompts_per_s : {8, 80, 160}) {
    CAPTURE(prompts_per_s);
    StartOfDay day(prompts_per_s);
    day.run(4);
    CHECK(day.waitMs(0.99) <= 2 * kReadMs);
    // Most engines still copy the prefix from another one, because reading it costs the engine
    // more.
    CHECK(static_cast<double>(day.read()) <= 0.35 * static_cast<double>(day.prompts()));
  }
}

TEST_CASE("Copies are spread over all holders that have had time to read the prefix") {
  relay::PrefixDirectory directory;
  directory.recordOwnersChanged(-60'000);
  const auto any = [](uint64_t) { return true; };
  const auto requestSource = [&](uint64_t runner, int64_t now_ms) {
    return directory
        .sourceFor(
            relay::PromptTarget{.prefix = kParent, .runner = runner, .part_copy_us = kCopyUs}, any,
            now_ms)
        .runner;
  };
  CHECK(requestSource(1, 0) == 0);
  requestSource(2, 0);
  // Both have the prefix by now. Each is named for one copy and one more queued behind it.
  const uint64_t first = requestSource(3, 3000);
  const uint64_t second = requestSource(4, 3000);
  CHECK(first != second);
  CHECK(requestSource(5, 3000) != 0);
  CHECK(requestSource(6, 3000) != 0);
  CHECK(requestSource(7, 3000) == 0);
  // The copies have finished.
  CHECK(requestSource(8, 3200) != 0);
}

TEST_CASE("Without a known copy time, the number of copies per source is not limited") {
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

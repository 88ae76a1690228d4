/// @file
/// Times until the first event of a prompt: the fitted line of a service, and the factor of one
/// engine.
#include <cmath>
#include <random>

#include <doctest/doctest.h>

#include "core/scheduling/prompt_read_times.h"

namespace workshatch::test {

namespace {

using relay::PromptRead;
using relay::PromptReadTimes;

constexpr double kFixedMs = 20;
constexpr double kMsPerToken = 1 / 61.2;

/// @return a sample on the line, slower by `factor`.
PromptRead sampleOf(uint64_t tokens, double factor = 1) {
  return PromptRead{
      .tokens = tokens,
      .duration_ms = std::llround(factor * (kFixedMs + kMsPerToken * static_cast<double>(tokens)))};
}

/// Adds `count` prompts of mixed sizes, one every 10 ms from `begin_ms`.
void addMixedPrompts(PromptReadTimes& times, int64_t count, int64_t begin_ms, double factor = 1) {
  std::mt19937 random(5);
  std::uniform_int_distribution<uint64_t> tokens(100, 20'000);
  for (int64_t i = 0; i < count; ++i) {
    times.add(sampleOf(tokens(random), factor), begin_ms + 10 * i);
  }
}

} // namespace

// Guards against limits that are applied by a line through a few samples.
TEST_CASE("Read times follow the line of the samples, and are not known with few of them") {
  PromptReadTimes times;
  addMixedPrompts(times, static_cast<int64_t>(relay::kMinReadSamples) - 1, 0);
  CHECK_FALSE(times.expectedMs(1000));
  addMixedPrompts(times, 1, 500);
  REQUIRE(times.expectedMs(1000));
  CHECK(*times.expectedMs(1000) == doctest::Approx(kFixedMs + 1000 * kMsPerToken).epsilon(0.03));
  CHECK(*times.expectedMs(50'000) ==
        doctest::Approx(kFixedMs + 50'000 * kMsPerToken).epsilon(0.03));
}

// Guards against refusals by times that were learned before the load changed.
TEST_CASE("Read times follow a change of speed within the time constant, and expire") {
  PromptReadTimes times;
  addMixedPrompts(times, 1000, 0);
  addMixedPrompts(times, 2000, 10'000, 3);
  CHECK(*times.expectedMs(10'000) > 2.5 * (kFixedMs + 10'000 * kMsPerToken));
  // One sample after a long pause: those before it are too old.
  times.add(sampleOf(1000), 100'000);
  CHECK_FALSE(times.expectedMs(1000));
}

// Guards against a line that is not determined by its samples.
TEST_CASE("Prompts of equal size, or of falling times, give no negative or endless expectation") {
  PromptReadTimes equal;
  PromptReadTimes falling;
  PromptReadTimes empty_prompts;
  for (int i = 0; i < 100; ++i) {
    equal.add(PromptRead{.tokens = 5000, .duration_ms = 100}, i);
    falling.add(PromptRead{.tokens = 1000 + 10U * static_cast<uint64_t>(i), .duration_ms = 200 - i},
                i);
    empty_prompts.add(PromptRead{.tokens = 0, .duration_ms = 30}, i);
  }
  CHECK(*equal.expectedMs(5000) == doctest::Approx(100));
  CHECK(*equal.expectedMs(10'000) == doctest::Approx(200));
  CHECK(*falling.expectedMs(1'000'000) == doctest::Approx(150).epsilon(0.05));
  CHECK(*empty_prompts.expectedMs(1000) == doctest::Approx(30));
}

// Guards against refusals because of a single lost report.
TEST_CASE(
    "A first event that is reported 1.5 s late, after a lost report, shifts the line little") {
  PromptReadTimes times;
  addMixedPrompts(times, 200, 0);
  const double before = *times.expectedMs(3000);
  times.add(PromptRead{.tokens = 500, .duration_ms = 1600}, 2000);
  CHECK(std::abs(*times.expectedMs(3000) - before) < 0.1 * before);
}

// Guards against a slow engine that is taken for a usual one, and one that is avoided after it has
// recovered.
TEST_CASE(
    "An engine's factor follows its own times within a second, in bounds, for three seconds") {
  relay::EngineReadFactor engine;
  CHECK(engine.factor(0) == 1);
  for (int64_t now_ms = 0; now_ms < 3000; now_ms += 100) {
    engine.add(50, 50, now_ms);
  }
  for (int64_t now_ms = 3000; now_ms < 5000; now_ms += 100) {
    engine.add(50, 125, now_ms);
  }
  CHECK(engine.factor(5000) == doctest::Approx(2.5).epsilon(0.15));
  CHECK(engine.factor(7899) > 2);
  CHECK(engine.factor(7900) == 1);
  engine.add(50, 50'000, 20'000);
  CHECK(engine.factor(20'000) == relay::kMaxReadFactor);
  engine.add(5000, 1, 30'000);
  CHECK(engine.factor(30'000) == relay::kMinReadFactor);
}

} // namespace workshatch::test

/// @file
/// Simulates runners that share their machines: what the work time factors that they report gain in
/// the choice of a runner, and what an untrue factor costs.
#include <algorithm>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/scheduling/placement.h"
#include "core/scheduling/work_time.h"

namespace workshatch::test {

namespace {

constexpr int64_t kWorkMs = 60;
constexpr double kSlowFactor = 2.5;

/// Simulates one relay's requests at a plain service whose runners become slow in turn.
class SharedMachines {
public:
  SharedMachines(size_t runners, bool factors_reported, double report_multiplier, uint32_t seed)
      : factors_reported_(factors_reported), report_multiplier_(report_multiplier), random_(seed) {
    for (size_t i = 0; i < runners; ++i) {
      auto runner = std::make_shared<relay::Runner>();
      runner->entry.set_id("r" + std::to_string(i));
      runner->entry.set_slots(6);
      runners_.push_back(std::move(runner));
      slow_until_ms_.push_back(0);
    }
  }

  /// @param false_reporter the only runner that reports an untrue factor; an index past the end:
  /// none
  /// @return the mean time that a request takes.
  double run(double requests_per_s, int64_t until_ms, size_t false_reporter) {
    double total = 0;
    size_t requests = 0;
    for (int64_t now_ms = 1; now_ms < until_ms; ++now_ms) {
      updateSlowRunners(now_ms);
      if (!std::bernoulli_distribution(requests_per_s / 1000)(random_)) {
        continue;
      }
      const auto offer = relay::nextOffer({}, relay::PlacementQuery{.candidates = runners_,
                                                                    .rank = {.draw = random_()},
                                                                    .now_ms = now_ms});
      const auto chosen = static_cast<size_t>(
          std::find(runners_.begin(), runners_.end(), offer->runner) - runners_.begin());
      const double factor = slow_until_ms_[chosen] > now_ms ? kSlowFactor : 1;
      total += static_cast<double>(kWorkMs) * factor;
      ++requests;
      if (factors_reported_) {
        const double reported = chosen == false_reporter ? factor * report_multiplier_ : factor;
        relay::recordWorkTime(*runners_[chosen], reported, now_ms);
      }
    }
    return total / static_cast<double>(requests);
  }

private:
  /// Each runner is slow for 0.15 of the time, in periods of some 600 ms.
  void updateSlowRunners(int64_t now_ms) {
    constexpr int64_t kSlowMs = 600;
    constexpr double kSlowPeriodsPerMs = 0.15 / 0.85 / kSlowMs;
    for (int64_t& until_ms : slow_until_ms_) {
      if (until_ms <= now_ms && std::bernoulli_distribution(kSlowPeriodsPerMs)(random_)) {
        until_ms = now_ms + kSlowMs;
      }
    }
  }

  const bool factors_reported_;
  const double report_multiplier_;
  std::mt19937 random_;
  std::vector<std::shared_ptr<relay::Runner>> runners_;
  std::vector<int64_t> slow_until_ms_;
};

constexpr size_t kNoFalseReporter = 100;

double meanTime(bool factors_reported, double requests_per_s,
                size_t false_reporter = kNoFalseReporter, double report_multiplier = 1) {
  constexpr size_t kRunners = 6;
  constexpr int64_t kRunMs = 200'000;
  return SharedMachines(kRunners, factors_reported, report_multiplier, 7)
      .run(requests_per_s, kRunMs, false_reporter);
}

} // namespace

TEST_CASE("Runners that report longer work times get fewer requests while the reports are recent") {
  // The relay uses each runner often enough for its factor to be recent.
  CHECK(meanTime(true, 60) < 0.95 * meanTime(false, 60));
  // The relay uses each runner only every few seconds: it has no recent factors, and loses nothing
  // by that.
  CHECK(meanTime(true, 1) < 1.03 * meanTime(false, 1));
}

TEST_CASE("A runner that reports to be ten times as fast as it is gains nothing") {
  CHECK(meanTime(true, 60, 0, 0.1) <= 1.02 * meanTime(false, 60));
}

TEST_CASE("A factor is valid for a second and is bounded") {
  relay::Runner runner;
  CHECK(relay::workTimeFactor(runner, 10) == 1);
  relay::recordWorkTime(runner, 3, 10);
  CHECK(relay::workTimeFactor(runner, 10) == 3);
  relay::recordWorkTime(runner, 1, 100);
  CHECK(relay::workTimeFactor(runner, 100) == 2);
  CHECK(relay::workTimeFactor(runner, 1100) == 1);
  relay::recordWorkTime(runner, 500, 2000);
  CHECK(relay::workTimeFactor(runner, 2000) == relay::kMaxWorkTimeFactor);
  relay::recordWorkTime(runner, 0.01, 4000);
  CHECK(relay::workTimeFactor(runner, 4000) == 1);
}

} // namespace workshatch::test

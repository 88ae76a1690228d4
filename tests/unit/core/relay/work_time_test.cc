/// @file
/// Runners that share their machines, replayed: what their figures of how long work takes are worth
/// for the choice of a runner, and what an untrue figure costs.
#include <algorithm>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/placement.h"
#include "core/relay/work_time.h"

namespace workshatch::test {

namespace {

constexpr int64_t kWorkMs = 60;
constexpr double kSlowFactor = 2.5;

/// One relay's requests at a plain service whose runners turn slow by turns.
class SharedMachines {
public:
  SharedMachines(size_t runners, bool figures_told, double told_times, uint32_t seed)
      : figures_told_(figures_told), told_times_(told_times), random_(seed) {
    for (size_t i = 0; i < runners; ++i) {
      auto runner = std::make_shared<relay::Runner>();
      runner->entry.set_id("r" + std::to_string(i));
      runner->entry.set_slots(6);
      runners_.push_back(std::move(runner));
      slow_until_ms_.push_back(0);
    }
  }

  /// @param liar this runner alone tells an untrue figure; past the end: none does
  /// @return the mean time that a request takes.
  double play(double requests_per_s, int64_t until_ms, size_t liar) {
    double total = 0;
    size_t requests = 0;
    for (int64_t now_ms = 1; now_ms < until_ms; ++now_ms) {
      turnSlow(now_ms);
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
      if (figures_told_) {
        const double told = chosen == liar ? factor * told_times_ : factor;
        relay::recordWorkTime(*runners_[chosen], told, now_ms);
      }
    }
    return total / static_cast<double>(requests);
  }

private:
  /// Each runner is slow for 0.15 of the time, for some 600 ms at a stretch.
  void turnSlow(int64_t now_ms) {
    constexpr int64_t kSlowMs = 600;
    constexpr double kTurnsPerMs = 0.15 / 0.85 / kSlowMs;
    for (int64_t& until_ms : slow_until_ms_) {
      if (until_ms <= now_ms && std::bernoulli_distribution(kTurnsPerMs)(random_)) {
        until_ms = now_ms + kSlowMs;
      }
    }
  }

  const bool figures_told_;
  const double told_times_;
  std::mt19937 random_;
  std::vector<std::shared_ptr<relay::Runner>> runners_;
  std::vector<int64_t> slow_until_ms_;
};

constexpr size_t kNoLiar = 100;

double meanTime(bool figures_told, double requests_per_s, size_t liar = kNoLiar,
                double told_times = 1) {
  constexpr size_t kRunners = 6;
  constexpr int64_t kPlayMs = 200'000;
  return SharedMachines(kRunners, figures_told, told_times, 7).play(requests_per_s, kPlayMs, liar);
}

} // namespace

TEST_CASE("Runners that say that their work takes longer get fewer requests where that is known") {
  // A relay that sees a runner often enough for its figure to be of now.
  CHECK(meanTime(true, 60) < 0.95 * meanTime(false, 60));
  // One that sees it every few seconds has nothing to go by, and loses nothing.
  CHECK(meanTime(true, 1) < 1.03 * meanTime(false, 1));
}

TEST_CASE("A runner that says that it is ten times as quick as it is gains nothing by it") {
  CHECK(meanTime(true, 60, 0, 0.1) <= 1.02 * meanTime(false, 60));
}

TEST_CASE("A figure counts for a second, within bounds") {
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

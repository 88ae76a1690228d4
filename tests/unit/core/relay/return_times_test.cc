/// @file
/// When refused callers come back: soon or in turn, and an overload of a plain service replayed.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <queue>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/return_times.h"
#include "ports/seeded_random.h"

namespace workshatch::test {

namespace {

/// A request whose answer is late whenever it comes.
relay::RefusedRequest late(const std::string& service, int64_t left_ms) {
  return relay::RefusedRequest{
      .service = service, .until_late_ms = -1, .objective_ms = 150, .left_ms = left_ms};
}

relay::RefusedRequest fresh(uint64_t draw = 0) {
  return relay::RefusedRequest{
      .service = "s", .until_late_ms = 145, .objective_ms = 150, .left_ms = 2500, .draw = draw};
}

/// Relays before a plain service with few workers; callers come back once.
class Overload {
public:
  struct Result {
    int in_time = 0;
    int late = 0;
    int refused = 0;
  };

  /// @param per_s new requests a second, of 30 ms each, for twelve workers and a queue of 24
  /// @param soon callers come back when they are told; otherwise a fixed time later
  Result run(double per_s, bool soon) {
    Result result;
    double next_new_ms = 0;
    for (double now_ms = 0; now_ms < kLengthMs; now_ms += kStepMs) {
      end(now_ms);
      while (!returns_.empty() && returns_.top().at_ms <= now_ms) {
        const Try again = returns_.top().attempt;
        returns_.pop();
        arrive(again, now_ms, soon, result);
      }
      while (next_new_ms <= now_ms) {
        arrive(Try{.begun_ms = now_ms, .relay = random_.below(kRelays)}, now_ms, soon, result);
        next_new_ms += -std::log(unitLot()) * kMsPerSecond / per_s;
      }
    }
    return result;
  }

private:
  static constexpr size_t kRelays = 20;
  static constexpr double kLengthMs = 20'000;
  static constexpr double kStepMs = 0.5;
  static constexpr double kMsPerSecond = 1000;
  static constexpr double kWorkers = 12;
  static constexpr double kWorkMs = 30;
  static constexpr size_t kPlaces = 36;
  static constexpr double kObjectiveMs = 150;
  static constexpr double kDeadlineMs = 2500;
  static constexpr double kFixedReturnMs = 400;

  struct Try {
    double begun_ms = 0;
    size_t relay = 0;
    bool returned = false;
  };
  struct Return {
    double at_ms = 0;
    Try attempt;
    bool operator<(const Return& other) const { return at_ms > other.at_ms; }
  };
  struct Running {
    double ends_ms = 0;
    size_t relay = 0;
    bool operator<(const Running& other) const { return ends_ms > other.ends_ms; }
  };

  /// Above zero, one at most.
  double unitLot() {
    constexpr uint64_t kFineness = 1U << 20U;
    return static_cast<double>(1 + random_.below(kFineness)) / static_cast<double>(kFineness);
  }

  void end(double now_ms) {
    while (!running_.empty() && running_.top().ends_ms <= now_ms) {
      times_[running_.top().relay].noteEnded("s", static_cast<int64_t>(running_.top().ends_ms));
      running_.pop();
    }
  }

  void arrive(Try attempt, double now_ms, bool soon, Result& result) {
    if (running_.size() < kPlaces) {
      // Work is done at the workers' common pace, in the order of arrival.
      free_ms_ = std::max(free_ms_, now_ms) + kWorkMs / kWorkers;
      const double ends_ms = free_ms_ + kWorkMs;
      running_.push(Running{.ends_ms = ends_ms, .relay = attempt.relay});
      ++(ends_ms - attempt.begun_ms <= kObjectiveMs ? result.in_time : result.late);
      return;
    }
    const auto now = static_cast<int64_t>(now_ms);
    const double elapsed_ms = now_ms - attempt.begun_ms;
    const uint32_t told_ms = times_[attempt.relay].nextAfterMs(
        relay::RefusedRequest{.service = "s",
                              .until_late_ms = static_cast<int64_t>(kObjectiveMs - elapsed_ms),
                              .objective_ms = static_cast<int64_t>(kObjectiveMs),
                              .left_ms = static_cast<int64_t>(kDeadlineMs - elapsed_ms),
                              .draw = random_.next()},
        now);
    if (attempt.returned) {
      ++result.refused;
      return;
    }
    attempt.returned = true;
    const double wait_ms = soon ? static_cast<double>(told_ms) : kFixedReturnMs;
    returns_.push(Return{.at_ms = now_ms + wait_ms, .attempt = attempt});
  }

  SeededRandom random_{5};
  std::vector<relay::ReturnTimes> times_{kRelays};
  std::priority_queue<Running> running_;
  std::priority_queue<Return> returns_;
  double free_ms_ = 0;
};

} // namespace

TEST_CASE("Refused callers come back one after the other at the service's pace") {
  relay::ReturnTimes times;
  // 40 requests ended in the last two seconds: half of that pace is for those who come back.
  for (int i = 0; i < 40; ++i) {
    times.noteEnded("s", 8000 + i * 50);
  }
  const uint32_t first = times.nextAfterMs(late("s", 100'000), 10'000);
  CHECK(first == 250);
  CHECK(times.nextAfterMs(late("s", 100'000), 10'000) == first + 100);
  CHECK(times.nextAfterMs(late("s", 100'000), 10'000) == first + 200);
  CHECK(times.nextAfterMs(late("t", 100'000), 10'000) == 250);
}

TEST_CASE("Nobody is sent away for more than a third of the time left, nor delays others by it") {
  relay::ReturnTimes times;
  constexpr int64_t kNow = 50'000;
  CHECK(times.nextAfterMs(late("s", 600), kNow) == 180);
  CHECK(times.nextAfterMs(late("s", 0), kNow) == 1);
  // Where nothing has ended lately, one comes back every two seconds.
  CHECK(times.nextAfterMs(late("s", 100'000), kNow) == 250);
  CHECK(times.nextAfterMs(late("s", 100'000), kNow) == 2250);
  CHECK(times.nextAfterMs(late("s", 9000), kNow) == 2700);
  CHECK(times.nextAfterMs(late("s", 100'000), kNow) == 4250);
}

TEST_CASE("A caller comes back while its answer can be in time, unless most tries are refused") {
  relay::ReturnTimes times;
  for (int i = 0; i < 20; ++i) {
    times.noteEnded("s", 9000 + i * 50);
  }
  for (uint64_t draw = 0; draw < 16; ++draw) {
    const uint32_t wait_ms = times.nextAfterMs(fresh(draw * 64), 10'000);
    CHECK(wait_ms >= 20);
    CHECK(wait_ms <= 66);
  }
  // By now 16 of 36 tries were refused; the next ones are more than the part allowed.
  CHECK(times.nextAfterMs(fresh(), 10'000) >= 250);
  // The refusals are forgotten.
  for (int i = 0; i < 20; ++i) {
    times.noteEnded("s", 13'000 + i * 10);
  }
  CHECK(times.nextAfterMs(fresh(), 13'500) <= 66);
}

TEST_CASE(
    "A plain service asked for a tenth more than it can do: as many are served, few are late") {
  const Overload::Result later = Overload().run(440, false);
  const Overload::Result soon = Overload().run(440, true);
  MESSAGE("in time, late, refused: ", later.in_time, ", ", later.late, ", ", later.refused,
          " when told to come later; ", soon.in_time, ", ", soon.late, ", ", soon.refused,
          " when told to come soon");
  CHECK(soon.in_time + soon.late >= later.in_time + later.late - 20);
  CHECK(soon.late * 5 <= later.late);
}

TEST_CASE("A plain service asked for three times what it can do: callers come in turn") {
  relay::ReturnTimes times;
  for (int i = 0; i < 20; ++i) {
    times.noteEnded("s", 9000 + i * 50);
  }
  uint32_t soon = 0;
  for (int i = 0; i < 40; ++i) {
    soon += times.nextAfterMs(fresh(static_cast<uint64_t>(i)), 10'000) < 250 ? 1 : 0;
  }
  CHECK(soon <= 16);
}

} // namespace workshatch::test

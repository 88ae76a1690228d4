/// @file
/// Service times of plain runners: measurement, and admission by the expected time.
#include <algorithm>

#include <doctest/doctest.h>

#include "core/scheduling/service_times.h"

namespace workshatch::test {

namespace {

constexpr uint64_t kRunner = 7;
constexpr uint64_t kOtherRunner = 8;
constexpr uint32_t kSlots = 6;
constexpr uint32_t kWithinMs = 240;
const relay::PlainRunner kPlain{.service = "s", .slots = kSlots};

/// Time after which a measurement covers a whole window.
constexpr int64_t kMeasuredMs = 3000;

/// Lets `busy` requests use slots all the time, each for `service_ms`, from `from_ms` to `to_ms`.
void serve(relay::ServiceTimes& times, uint64_t runner, uint32_t busy, int64_t service_ms,
           int64_t from_ms, int64_t to_ms) {
  times.measure(runner, kPlain, busy, from_ms);
  times.recordLoad(runner, busy, from_ms);
  v1::RunnerOutcomes ended;
  ended.set_completed(std::min(busy, kSlots));
  for (int64_t now_ms = from_ms + service_ms; now_ms <= to_ms; now_ms += service_ms) {
    times.recordEnded(runner, ended, now_ms);
  }
  times.recordLoad(runner, 0, to_ms);
}

} // namespace

// Guards against a runner that counts as slow because it is busy.
TEST_CASE("A service time does not contain the time that requests wait in the runner's queue") {
  relay::ServiceTimes idle;
  serve(idle, kRunner, 2, 60, 0, kMeasuredMs);
  relay::ServiceTimes queueing;
  serve(queueing, kRunner, 3 * kSlots, 60, 0, kMeasuredMs);
  CHECK(*idle.measuredMs(kRunner, kMeasuredMs) == doctest::Approx(60).epsilon(0.05));
  CHECK(*queueing.measuredMs(kRunner, kMeasuredMs) == doctest::Approx(60).epsilon(0.05));
}

// Guards against refusals by a time that was measured from a few requests, or before the runner's
// speed changed.
TEST_CASE("A service time needs a whole window and five requests, and follows a change of speed") {
  relay::ServiceTimes times;
  serve(times, kRunner, 6, 60, 0, 1900);
  CHECK_FALSE(times.measuredMs(kRunner, 1900));
  serve(times, kRunner, 6, 60, 1900, 5000);
  CHECK(*times.measuredMs(kRunner, 5000) < 70);
  serve(times, kRunner, 6, 240, 5000, 8000);
  CHECK(*times.measuredMs(kRunner, 8000) == doctest::Approx(240).epsilon(0.1));
  // A runner with four requests in all has no service time.
  serve(times, kOtherRunner, 4, 60, 0, 60);
  CHECK_FALSE(times.measuredMs(kOtherRunner, kMeasuredMs));
}

// Guards against a slow runner that counts as one of usual speed because few of its requests end.
TEST_CASE("A runner that gets one request at a time because it is slow keeps its service time") {
  relay::ServiceTimes times;
  serve(times, kRunner, 1, 900, 0, 8100);
  CHECK(*times.measuredMs(kRunner, 8100) == doctest::Approx(900).epsilon(0.1));
}

// Guards against a slow runner that is filled with late requests up to the same number as a fast
// one.
TEST_CASE("A claim that would wait is refused by the expected time, not by its number") {
  relay::ServiceTimes times;
  serve(times, kRunner, 6, 60, 0, kMeasuredMs);
  CHECK_FALSE(times.report(kRunner, 17, kWithinMs, kMeasuredMs).late);
  CHECK(times.report(kRunner, 17, kWithinMs, kMeasuredMs).expected_ms >= 220);
  CHECK(times.report(kRunner, 19, kWithinMs, kMeasuredMs).late);
  CHECK_FALSE(times.report(kRunner, 19, 0, kMeasuredMs).late);
}

// Guards against a refusal although no other runner would respond sooner.
TEST_CASE("A free slot is refused for its expected time only if other runners are fast enough") {
  relay::ServiceTimes times;
  serve(times, kRunner, 6, 240, 0, kMeasuredMs);
  // Nothing is known about other runners, so that a refused request may find none that is faster.
  CHECK_FALSE(times.report(kRunner, 5, kWithinMs, kMeasuredMs).late);
  CHECK(times.report(kRunner, 6, kWithinMs, kMeasuredMs).late);
  serve(times, kOtherRunner, 6, 60, 0, kMeasuredMs);
  CHECK(times.report(kRunner, 1, kWithinMs, kMeasuredMs).late);
  CHECK_FALSE(times.report(kRunner, 0, kWithinMs, kMeasuredMs).late);
}

// Guards against a slow service that refuses all requests.
TEST_CASE("A service whose requests take longer than the limit is still served in all its slots") {
  relay::ServiceTimes times;
  serve(times, kRunner, 6, 400, 0, kMeasuredMs);
  serve(times, kOtherRunner, 6, 400, 0, kMeasuredMs);
  CHECK_FALSE(times.report(kRunner, kSlots - 1, kWithinMs, kMeasuredMs).late);
  CHECK(times.report(kRunner, kSlots, kWithinMs, kMeasuredMs).late);
}

// Guards against a burst of late requests at runners that are not measured yet.
TEST_CASE("A runner without a service time counts like the others that are measured or reported") {
  relay::ServiceTimes times;
  times.measure(kRunner, kPlain, 0, 0);
  CHECK(times.report(kRunner, 20, kWithinMs, 100).expected_ms == 0);
  times.recordReceived("s", 60, 100);
  CHECK(times.report(kRunner, 6, kWithinMs, 200).expected_ms == 120);
  CHECK(times.report(kRunner, 6, kWithinMs, 20'000).expected_ms == 0);
  serve(times, kOtherRunner, 6, 30, 0, kMeasuredMs);
  CHECK(times.report(kRunner, 6, kWithinMs, kMeasuredMs).expected_ms == 60);
  // Only what was measured is told to other relays: a value must not circulate between owners.
  CHECK(times.report(kRunner, 6, kWithinMs, kMeasuredMs).service_time_ms == 0);
}

} // namespace workshatch::test

/// @file
/// Tests of the longest durations of the requests of routes.
#include <doctest/doctest.h>

#include "core/relay/request_durations.h"

namespace workshatch::relay::test {

namespace {

constexpr int64_t kLimitMs = 15'000;

/// Records requests of route `r`, one a second from `begin_ms` on.
void record(RequestDurations& durations, int64_t requests, int64_t duration_ms, int64_t begin_ms) {
  for (int64_t i = 0; i < requests; ++i) {
    durations.recordEnded("r", duration_ms, begin_ms + 1000 * i);
  }
}

} // namespace

TEST_CASE("Nothing is concluded from few requests, or before one could have lasted to its limit") {
  RequestDurations durations;
  record(durations, RequestDurations::kMinRequests - 1, 2000, 1000);
  CHECK_FALSE(durations.expectedLongestMs("r", kLimitMs, 21'000));
  durations.recordEnded("r", 2000, 21'000);
  CHECK(durations.expectedLongestMs("r", kLimitMs, 21'000) == 3000);
  CHECK_FALSE(durations.expectedLongestMs("r", 30'000, 21'000));
  CHECK_FALSE(durations.expectedLongestMs("other", kLimitMs, 21'000));
}

TEST_CASE("A request in progress that has lasted longer than all others counts") {
  RequestDurations durations;
  record(durations, RequestDurations::kMinRequests, 2000, 1000);
  durations.recordInProgress("r", 6000, 21'000);
  CHECK(durations.expectedLongestMs("r", kLimitMs, 21'000) == 9000);
}

TEST_CASE("Durations are forgotten after two periods") {
  RequestDurations durations;
  record(durations, RequestDurations::kMinRequests, 2000, 1000);
  CHECK(durations.expectedLongestMs("r", kLimitMs, RequestDurations::kPeriodMs + 1000) == 3000);
  CHECK_FALSE(durations.expectedLongestMs("r", kLimitMs, 2 * RequestDurations::kPeriodMs + 1000));
}

} // namespace workshatch::relay::test

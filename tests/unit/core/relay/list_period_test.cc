/// @file
/// The period of reading the list of runners.
#include <doctest/doctest.h>

#include "core/relay/list_period.h"

namespace workshatch::test {

TEST_CASE("A list is read as often as wanted while the rate allows it") {
  const relay::ListPollOptions reading{.pages = 3, .calls_per_s = 50, .desired_period_ms = 400};
  CHECK(relay::listPeriodMs(reading) == 400);
}

TEST_CASE("All readers of a long list together use half of the rate") {
  const relay::ListPollOptions alone{.pages = 14, .calls_per_s = 47, .desired_period_ms = 400};
  CHECK(relay::listPeriodMs(alone) == 595);
  const relay::ListPollOptions many{
      .pages = 4, .readers = 79, .calls_per_s = 50, .desired_period_ms = 1000};
  CHECK(relay::listPeriodMs(many) == 12'640);
}

TEST_CASE("A leaving runner is read of four times within its bound") {
  CHECK(relay::desiredListPeriodMs(4000) == 1000);
  CHECK(relay::desiredListPeriodMs(3000) == 750);
}

TEST_CASE("Replicas read the list when they lead, or when no leader came of an election") {
  CHECK(relay::shouldReadList(true, 0));
  CHECK_FALSE(relay::shouldReadList(false, 0));
  CHECK_FALSE(relay::shouldReadList(false, 800));
  CHECK(relay::shouldReadList(false, 1000));
}

TEST_CASE("A list of ten thousand runners takes no more calls than half of the rate allows") {
  const relay::ListPollOptions reading{
      .pages = 50, .calls_per_s = 320, .desired_period_ms = relay::desiredListPeriodMs(5000)};
  CHECK(relay::listPeriodMs(reading) == 1250);
  const relay::ListPollOptions twice{
      .pages = 100, .calls_per_s = 320, .desired_period_ms = relay::desiredListPeriodMs(5000)};
  CHECK(relay::listPeriodMs(twice) == 1250);
}

} // namespace workshatch::test

/// @file
/// The period at which the list of runners is read.
#include <doctest/doctest.h>

#include "core/relay/list_period.h"

namespace workshatch::test {

TEST_CASE("The list is read at the desired period if the call rate allows it") {
  const relay::ListPollOptions reading{.pages = 3, .calls_per_s = 50, .desired_period_ms = 400};
  CHECK(relay::listPeriodMs(reading) == 400);
}

TEST_CASE("All readers of a long list together use half of the call rate") {
  const relay::ListPollOptions alone{.pages = 14, .calls_per_s = 47, .desired_period_ms = 400};
  CHECK(relay::listPeriodMs(alone) == 595);
  const relay::ListPollOptions many{
      .pages = 4, .readers = 79, .calls_per_s = 50, .desired_period_ms = 1000};
  CHECK(relay::listPeriodMs(many) == 12'640);
}

TEST_CASE("The list is read four times within the bound for leaving runners") {
  CHECK(relay::desiredListPeriodMs(4000) == 1000);
  CHECK(relay::desiredListPeriodMs(3000) == 750);
}

TEST_CASE("A replica reads the list if it leads or if the group has had no leader for a second") {
  CHECK(relay::shouldReadList(true, 0));
  CHECK_FALSE(relay::shouldReadList(false, 0));
  CHECK_FALSE(relay::shouldReadList(false, 800));
  CHECK(relay::shouldReadList(false, 1000));
}

TEST_CASE("Reading a list of ten thousand runners uses at most half of the call rate") {
  const relay::ListPollOptions reading{
      .pages = 50, .calls_per_s = 320, .desired_period_ms = relay::desiredListPeriodMs(5000)};
  CHECK(relay::listPeriodMs(reading) == 1250);
  const relay::ListPollOptions twice{
      .pages = 100, .calls_per_s = 320, .desired_period_ms = relay::desiredListPeriodMs(5000)};
  CHECK(relay::listPeriodMs(twice) == 1250);
}

} // namespace workshatch::test

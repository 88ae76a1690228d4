/// @file
/// The period of reading the list of runners.
#include <doctest/doctest.h>

#include "core/relay/list_period.h"

namespace workshatch::test {

TEST_CASE("A list is read as often as wanted while the rate allows it") {
  const relay::ListReading reading{.pages = 3, .calls_per_s = 50, .wanted_ms = 400};
  CHECK(relay::listPeriodMs(reading) == 400);
}

TEST_CASE("All readers of a long list together use half of the rate") {
  const relay::ListReading alone{.pages = 14, .calls_per_s = 47, .wanted_ms = 400};
  CHECK(relay::listPeriodMs(alone) == 595);
  const relay::ListReading many{.pages = 4, .readers = 79, .calls_per_s = 50, .wanted_ms = 1000};
  CHECK(relay::listPeriodMs(many) == 12'640);
}

TEST_CASE("A leaving runner is read of four times within its bound") {
  CHECK(relay::wantedListPeriodMs(4000) == 1000);
  CHECK(relay::wantedListPeriodMs(3000) == 750);
}

} // namespace workshatch::test

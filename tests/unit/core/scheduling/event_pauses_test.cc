/// @file
/// Tests of the pauses between the events of a stream. Titles name the failures that they guard
/// against.
#include <doctest/doctest.h>

#include "core/scheduling/event_pauses.h"

namespace workshatch::test {

TEST_CASE("The time until the first event counts as a pause, or the longest pause is missed") {
  relay::EventPauses pauses;
  CHECK(pauses.eventAfterLongest() == 0);
  CHECK(pauses.recordEvent(5000) == 0);
  CHECK(pauses.longestMs() == 0);
  CHECK(pauses.eventAfterLongest() == 0);
  CHECK(pauses.recordEvent(5030) == 30);
  CHECK(pauses.recordEvent(5530) == 500);
  // Events that arrive together have no pause between them.
  CHECK(pauses.recordEvent(5530) == 0);
  CHECK(pauses.recordEvent(5600) == 70);
  CHECK(pauses.longestMs() == 500);
  CHECK(pauses.eventAfterLongest() == 3);
}

TEST_CASE("The time for which the relay waits for a slow caller counts as a pause of the runner") {
  relay::EventPauses pauses;
  pauses.recordEvent(1000);
  pauses.recordEvent(1010);
  pauses.recordReadingResumed(4000);
  // The next event was received with the one before it.
  CHECK(pauses.recordEvent(1010) == 0);
  CHECK(pauses.recordEvent(4005) == 5);
  CHECK(pauses.longestMs() == 10);
  CHECK(pauses.eventAfterLongest() == 2);
}

} // namespace workshatch::test

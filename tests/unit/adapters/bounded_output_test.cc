/// @file
/// Test of the number of dropped log lines that is reported.
#include <string>

#include <doctest/doctest.h>

#include "adapters/logging/bounded_output.h"

namespace workshatch::test {

namespace {

/// Larger than the buffer, so that the lines after it are dropped.
constexpr size_t kFillerBytes = size_t{128} * 1024;

void dropLines(logging::BoundedOutput& output, int count) {
  for (int line = 0; line < count; ++line) {
    REQUIRE_FALSE(output.tryReserveLine());
  }
}

} // namespace

// Guards against a loss of log lines that is never reported, or that is reported with the number of
// an earlier loss.
TEST_CASE("The number of dropped log lines is reported once, after the loss") {
  logging::BoundedOutput output(-1);
  CHECK(output.takeUnreportedDrops() == 0);
  output.add(std::string(kFillerBytes, 'x'));
  dropLines(output, 3);
  CHECK(output.takeUnreportedDrops() == 3);
  CHECK(output.takeUnreportedDrops() == 0);
  dropLines(output, 2);
  CHECK(output.takeUnreportedDrops() == 2);
  CHECK(output.droppedLines() == 5);
}

} // namespace workshatch::test

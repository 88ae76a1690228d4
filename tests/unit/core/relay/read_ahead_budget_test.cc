/// @file
/// What is held for callers that read slowly, and which of them is cut.
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/read_ahead_budget.h"

namespace workshatch::test {

TEST_CASE("At the bound of the process the reader that holds most is cut, of equals the slowest") {
  relay::ReadAheadBudget read_ahead(relay::ReadAheadLimits{.process_bytes = 1000});
  std::vector<int> cut;
  std::vector<relay::ReadAheadBudget::Reader> readers;
  for (int i = 0; i < 3; ++i) {
    readers.push_back(read_ahead.open([&cut, i] { cut.push_back(i); }));
  }
  read_ahead.update(readers[0], 400, 10);
  read_ahead.update(readers[1], 400, 5);
  read_ahead.update(readers[2], 200, 0);
  CHECK(read_ahead.bufferedBytes() == 1000);
  CHECK(cut.empty());
  read_ahead.update(readers[2], 201, 0);
  CHECK(cut == std::vector<int>{1});
  CHECK(read_ahead.bufferedBytes() == 601);
  // What the cut one still reports counts no more.
  read_ahead.update(readers[1], 900, 5);
  CHECK(read_ahead.bufferedBytes() == 601);
  read_ahead.update(readers[0], 100, 310);
  CHECK(read_ahead.bufferedBytes() == 301);
  read_ahead.close(readers[0]);
  read_ahead.close(readers[2]);
  CHECK(read_ahead.bufferedBytes() == 0);
  CHECK(read_ahead.cancelledReaders() == 1);
}

TEST_CASE("A runner is read no further at the high mark of its caller") {
  const relay::ReadAheadBudget read_ahead(
      relay::ReadAheadLimits{.high_bytes = 100, .low_bytes = 50});
  CHECK_FALSE(read_ahead.isFull(99));
  CHECK(read_ahead.isFull(100));
  CHECK(read_ahead.lowBytes() == 50);
}

} // namespace workshatch::test

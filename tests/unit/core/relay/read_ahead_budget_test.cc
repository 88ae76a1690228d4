/// @file
/// The bytes that are buffered for callers that read slowly, and the order in which their readers
/// are cancelled.
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/read_ahead_budget.h"

namespace workshatch::test {

TEST_CASE("Over the process limit the reader with the most buffered bytes is cancelled, among "
          "equals the slowest") {
  relay::ReadAheadBudget read_ahead(relay::ReadAheadLimits{.process_bytes = 1000});
  std::vector<int> cancelled;
  std::vector<relay::ReadAheadBudget::Reader> readers;
  for (int i = 0; i < 3; ++i) {
    readers.push_back(read_ahead.open([&cancelled, i] { cancelled.push_back(i); }));
  }
  read_ahead.update(readers[0], 400, 10);
  read_ahead.update(readers[1], 400, 5);
  read_ahead.update(readers[2], 200, 0);
  CHECK(read_ahead.bufferedBytes() == 1000);
  CHECK(cancelled.empty());
  read_ahead.update(readers[2], 201, 0);
  CHECK(cancelled == std::vector<int>{1});
  CHECK(read_ahead.bufferedBytes() == 601);
  // Later updates for a cancelled reader are ignored.
  read_ahead.update(readers[1], 900, 5);
  CHECK(read_ahead.bufferedBytes() == 601);
  read_ahead.update(readers[0], 100, 310);
  CHECK(read_ahead.bufferedBytes() == 301);
  read_ahead.close(readers[0]);
  read_ahead.close(readers[2]);
  CHECK(read_ahead.bufferedBytes() == 0);
  CHECK(read_ahead.cancelledReaders() == 1);
}

TEST_CASE("Reading from a runner stops at the caller's high watermark") {
  const relay::ReadAheadBudget read_ahead(
      relay::ReadAheadLimits{.high_bytes = 100, .low_bytes = 50});
  CHECK_FALSE(read_ahead.isFull(99));
  CHECK(read_ahead.isFull(100));
  CHECK(read_ahead.lowBytes() == 50);
}

} // namespace workshatch::test

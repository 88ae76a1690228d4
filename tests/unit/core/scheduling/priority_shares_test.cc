/// @file
/// Slots reserved for more urgent priorities, by how common these are.
#include <doctest/doctest.h>

#include "core/scheduling/priority_shares.h"
#include "core/scheduling/slot_limits.h"

namespace workshatch::test {

namespace {

constexpr uint32_t kSlots = 64;

/// Records a request every 10 ms, of a priority that depends on its number.
template <typename PriorityOf> relay::PriorityShares record(int requests, PriorityOf priority_of) {
  relay::PriorityShares shares;
  for (int i = 0; i < requests; ++i) {
    shares.record("s", priority_of(i), int64_t{10} * i);
  }
  return shares;
}

uint32_t limitWith(std::optional<double> reserved_steps, uint32_t priority) {
  return relay::slotLimit({}, kSlots, true,
                          {.priority = priority, .reserved_steps = reserved_steps, .draw = 1});
}

} // namespace

TEST_CASE("Slots stay free for priorities that no request has") {
  const auto shares = record(300, [](int i) { return i % 2 == 0 ? 3U : 4U; });
  CHECK(limitWith(shares.reservedSteps("s", 3, 3000), 3) == kSlots);
  CHECK(limitWith(shares.reservedSteps("s", 4, 3000), 4) == 60);
  // The same number of slots for each priority that might exist.
  CHECK(limitWith(std::nullopt, 3) == 54);
}

TEST_CASE("A rare urgent priority takes a whole step of slots") {
  const auto shares = record(1000, [](int i) { return i % 100 == 0 ? 0U : 3U; });
  const double steps = shares.reservedSteps("s", 3, 10'000).value();
  CHECK(steps > 0.2);
  CHECK(steps < 0.6);
}

TEST_CASE("The shares of a few requests, or of those of long ago, decide") {
  const auto shares = record(19, [](int) { return 3U; });
  CHECK_FALSE(shares.reservedSteps("s", 3, 190));
  CHECK_FALSE(shares.reservedSteps("other", 3, 190));
  const auto former = record(300, [](int) { return 3U; });
  CHECK(former.reservedSteps("s", 3, 3000));
  CHECK_FALSE(former.reservedSteps("s", 3, 60'000));
}

TEST_CASE("A priority out of range is counted outside of the table") {
  const auto shares = record(100, [](int) { return 77U; });
  CHECK(shares.reservedSteps("s", 77, 1000) == 0);
  CHECK(shares.reservedSteps("s", 9, 1000) == 0);
}

} // namespace workshatch::test

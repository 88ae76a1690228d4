/// @file
/// The number of requests in progress up to which a runner accepts a request.
#include <initializer_list>
#include <limits>

#include <doctest/doctest.h>

#include "core/scheduling/slot_limits.h"

namespace workshatch::test {

using relay::RequestRank;
using relay::slotLimit;
using relay::SlotLimitOptions;

TEST_CASE("The last slots of an engine are reserved for more urgent requests") {
  const SlotLimitOptions options;
  CHECK(slotLimit(options, 48, true, RequestRank{.priority = 0, .draw = 1}) == 48);
  CHECK(slotLimit(options, 48, true, RequestRank{.priority = 1, .draw = 1}) == 45);
  CHECK(slotLimit(options, 48, true, RequestRank{.priority = 2, .draw = 1}) == 43);
  CHECK(slotLimit(options, 48, true, RequestRank{.priority = 2, .over_share = true, .draw = 1}) ==
        38);
}

TEST_CASE("Every request may use more than half of the slots") {
  const SlotLimitOptions options;
  for (uint32_t priority = 0; priority <= 9; ++priority) {
    for (const bool over_share : {false, true}) {
      CAPTURE(priority);
      const RequestRank rank{.priority = priority, .over_share = over_share, .draw = 1};
      CHECK(slotLimit(options, 48, true, rank) > 24);
      CHECK(slotLimit(options, 12, true, rank) > 6);
      CHECK(slotLimit(options, 1, true, rank) == 1);
    }
  }
}

TEST_CASE("A few requests of each priority count as the most urgent") {
  const SlotLimitOptions options;
  int promoted = 0;
  for (uint64_t draw = 0; draw < 800; ++draw) {
    const uint32_t limit = slotLimit(options, 48, true, RequestRank{.priority = 9, .draw = draw});
    promoted += limit == 48 ? 1 : 0;
  }
  CHECK(promoted == 100);
}

TEST_CASE("A plain service may have a short queue; an unknown number of slots sets no limit") {
  const SlotLimitOptions options;
  CHECK(slotLimit(options, 6, false, RequestRank{}) == 12);
  CHECK(slotLimit(options, 0, true, RequestRank{}) == std::numeric_limits<uint32_t>::max());
}

} // namespace workshatch::test

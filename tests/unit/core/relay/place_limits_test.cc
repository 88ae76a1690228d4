/// @file
/// How full a runner may be for a request.
#include <initializer_list>
#include <limits>

#include <doctest/doctest.h>

#include "core/relay/place_limits.h"

namespace workshatch::test {

using relay::placeLimit;
using relay::PlaceLimitOptions;
using relay::Standing;

TEST_CASE("The last places of an engine are kept for the more urgent requests") {
  const PlaceLimitOptions options;
  CHECK(placeLimit(options, 48, true, Standing{.priority = 0, .draw = 1}) == 48);
  CHECK(placeLimit(options, 48, true, Standing{.priority = 1, .draw = 1}) == 45);
  CHECK(placeLimit(options, 48, true, Standing{.priority = 2, .draw = 1}) == 43);
  CHECK(placeLimit(options, 48, true, Standing{.priority = 2, .over_share = true, .draw = 1}) ==
        38);
}

TEST_CASE("Nothing is kept from more than half of the places") {
  const PlaceLimitOptions options;
  for (uint32_t priority = 0; priority <= 9; ++priority) {
    for (const bool over_share : {false, true}) {
      CAPTURE(priority);
      const Standing standing{.priority = priority, .over_share = over_share, .draw = 1};
      CHECK(placeLimit(options, 48, true, standing) > 24);
      CHECK(placeLimit(options, 12, true, standing) > 6);
      CHECK(placeLimit(options, 1, true, standing) == 1);
    }
  }
}

TEST_CASE("A few requests of each priority count as the most urgent") {
  const PlaceLimitOptions options;
  int as_urgent = 0;
  for (uint64_t draw = 0; draw < 800; ++draw) {
    const uint32_t limit = placeLimit(options, 48, true, Standing{.priority = 9, .draw = draw});
    as_urgent += limit == 48 ? 1 : 0;
  }
  CHECK(as_urgent == 100);
}

TEST_CASE("A plain service may have a short queue; unknown places are no limit") {
  const PlaceLimitOptions options;
  CHECK(placeLimit(options, 6, false, Standing{}) == 18);
  CHECK(placeLimit(options, 0, true, Standing{}) == std::numeric_limits<uint32_t>::max());
}

} // namespace workshatch::test

#include "core/relay/place_limits.h"

#include <algorithm>
#include <limits>

namespace workshatch::relay {

uint32_t placeLimit(const PlaceLimitOptions& options, uint32_t places, bool engine,
                    const Standing& standing) {
  if (places == 0) {
    return std::numeric_limits<uint32_t>::max();
  }
  const bool drawn = standing.draw % options.one_in_is_urgent == 0;
  const uint32_t priority = drawn ? 0 : standing.priority;
  const double left_free =
      options.part_by_priority * priority + (standing.over_share ? options.part_over_share : 0);
  const double part = std::max(1 - left_free, options.least_part);
  const double factor = engine ? 1 : options.service_factor;
  return std::max(static_cast<uint32_t>(part * factor * places), uint32_t{1});
}

} // namespace workshatch::relay

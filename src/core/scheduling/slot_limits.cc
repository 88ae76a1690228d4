#include "core/scheduling/slot_limits.h"

#include <algorithm>
#include <limits>

namespace workshatch::relay {

double usableFraction(const SlotLimitOptions& options, const RequestRank& rank) {
  const bool promoted = rank.draw % options.urgent_one_in == 0;
  const double steps = promoted ? 0 : rank.reserved_steps.value_or(rank.priority);
  const double reserved_fraction = options.reserved_fraction_per_priority * steps +
                                   (rank.over_share ? options.reserved_fraction_over_share : 0);
  return std::max(1 - reserved_fraction, options.min_usable_fraction);
}

uint32_t slotLimit(const SlotLimitOptions& options, uint32_t slots, bool engine,
                   const RequestRank& rank) {
  if (slots == 0) {
    return std::numeric_limits<uint32_t>::max();
  }
  const double per_slot = engine ? 1 : options.plain_requests_per_slot;
  const double usable_slots = usableFraction(options, rank) * per_slot * slots;
  return std::max(static_cast<uint32_t>(usable_slots), uint32_t{1});
}

} // namespace workshatch::relay

#include "core/admission/load_cap.h"

#include <algorithm>
#include <cmath>

namespace workshatch::admission {

uint64_t loadCap(const PoolPolicy& policy, uint64_t total, uint32_t engines, uint64_t cost) {
  const double mean = static_cast<double>(total + cost) / std::max<uint32_t>(engines, 1);
  auto cap = static_cast<uint64_t>(std::ceil(policy.aim_factor * mean));
  if (policy.engine_limit != 0) {
    cap = std::min(cap, policy.engine_limit);
  }
  return std::max(cap, cost);
}

} // namespace workshatch::admission

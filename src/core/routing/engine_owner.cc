#include "core/routing/engine_owner.h"

#include <utility>

#include "core/routing/rendezvous.h"

namespace workshatch::routing {

const v1::RouterEntry* ownerOf(const v1::View& view, const std::string& engine,
                               const std::string& zone) {
  const uint64_t key = fingerprintOf(engine);
  const v1::RouterEntry* best = nullptr;
  uint64_t best_weight = 0;
  bool best_local = false;
  for (const v1::RouterEntry& router : view.routers()) {
    if (router.state() != v1::ROUTER_ACTIVE) {
      continue;
    }
    const bool local = router.zone() == zone;
    const uint64_t weight = rendezvousWeight(key, router.name());
    if (best == nullptr || std::pair(local, weight) > std::pair(best_local, best_weight)) {
      best = &router;
      best_weight = weight;
      best_local = local;
    }
  }
  return best;
}

} // namespace workshatch::routing

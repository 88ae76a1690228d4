/// @file
/// Upper limit of one engine's load, derived from the mean load of its pool.
#pragma once

#include <cstdint>

namespace workshatch::admission {

/// Admission limits of one pool, in the pool's load unit (requests or tokens).
struct PoolPolicy {
  /// Target of an engine's load as a multiple of the pool's mean. It is below the promised factor,
  /// because the load totals of the other owners are stale.
  double aim_factor = 1.1;
  /// Maximum load of any engine; zero: no limit.
  uint64_t engine_limit = 0;
  /// Maximum number of requests queued for one engine.
  uint32_t queue_length = 64;
  /// Load that a tenant of weight one may start before the next tenant is served.
  uint64_t fair_quantum = 1;
};

/// @param total load of the whole pool without the request, in the load unit
/// @param engines number of engines in the pool
/// @param cost load of the request
/// @return the maximum load of an engine, the request included. It is never below `cost`, so that
/// an idle engine always accepts one request.
uint64_t loadCap(const PoolPolicy& policy, uint64_t total, uint32_t engines, uint64_t cost);

} // namespace workshatch::admission

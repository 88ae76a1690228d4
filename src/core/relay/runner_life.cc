#include "core/relay/runner_life.h"

#include "core/routing/rendezvous.h"

namespace workshatch::relay {

uint64_t RunnerLife::fingerprint() const {
  if (born_ms == 0) {
    return routing::fingerprintOf(id);
  }
  // A byte that no id holds stands between the two.
  return routing::fingerprintOf(id + '\0' + std::to_string(born_ms));
}

RunnerLife lifeOf(const v1::RunnerEntry& entry) {
  return RunnerLife{.id = entry.id(), .born_ms = entry.born_ms()};
}

} // namespace workshatch::relay

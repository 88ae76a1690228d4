#include "core/relay/runner_incarnation.h"

#include "core/routing/rendezvous.h"

namespace workshatch::relay {

uint64_t RunnerIncarnation::fingerprint() const {
  if (born_ms == 0) {
    return routing::fingerprintOf(id);
  }
  // The separator is a byte that occurs in no id.
  return routing::fingerprintOf(id + '\0' + std::to_string(born_ms));
}

RunnerIncarnation incarnationOf(const v1::RunnerEntry& entry) {
  return RunnerIncarnation{.id = entry.id(), .born_ms = entry.born_ms()};
}

} // namespace workshatch::relay

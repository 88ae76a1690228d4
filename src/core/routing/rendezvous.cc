#include "core/routing/rendezvous.h"

#include <xxhash.h>

namespace workshatch::routing {

uint64_t fingerprintOf(std::string_view text) {
  const uint64_t hash = XXH3_64bits(text.data(), text.size());
  return hash == 0 ? 1 : hash;
}

uint64_t rendezvousWeight(uint64_t key, std::string_view node) {
  return XXH3_64bits_withSeed(node.data(), node.size(), key);
}

} // namespace workshatch::routing

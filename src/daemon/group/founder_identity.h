/// @file
/// The identity of a replica that takes part in the first start of the system.
#pragma once

#include <cstdint>
#include <string>

#include "core/routing/rendezvous.h"

namespace workshatch::daemon {

/// All founders know each other's identities without having heard of them, so that they make the
/// same first membership. A replica that is started later has a random identity.
/// @param address address at which other replicas reach it
/// @return the identity; never zero.
inline uint64_t founderIdentity(const std::string& address) {
  return routing::fingerprintOf("founder " + address) | 1U;
}

} // namespace workshatch::daemon

/// @file
/// What founders know of each other: the replicas that take part in the first start of the system.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "core/routing/rendezvous.h"

namespace workshatch::daemon {

/// All founders know each other's identities without having heard of them, so that they make the
/// same first membership. A replica that is started later has a random identity.
/// @param address address at which other replicas reach it
/// @return the identity; never zero.
inline uint64_t founderIdentity(const std::string& address) {
  return routing::fingerprintOf("founder " + address) | 1U;
}

/// @param addresses addresses of the members of a group, in any order
/// @return a digest by which founders compare the groups that they would form.
inline uint64_t membersDigest(std::vector<std::string> addresses) {
  std::sort(addresses.begin(), addresses.end());
  std::string text;
  for (const std::string& address : addresses) {
    text += address + "\n";
  }
  return routing::fingerprintOf(text);
}

} // namespace workshatch::daemon

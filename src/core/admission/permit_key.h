/// @file
/// Key of a permit for ordered containers.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "workshatch/v1/peer.pb.h"

namespace workshatch::admission {

/// Identifies a permit: the router that requested it, the incarnation of that router's process, and
/// a sequence number within the incarnation.
struct PermitKey {
  std::string router;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false report of clang-tidy 14 on a defaulted operator.
  friend auto operator<=>(const PermitKey&, const PermitKey&) = default;
};

inline PermitKey keyOf(const v1::PermitId& permit) {
  return PermitKey{.router = permit.router(),
                   .incarnation = permit.incarnation(),
                   .sequence = permit.sequence()};
}

inline bool samePermit(const v1::PermitId& left, const v1::PermitId& right) {
  return left.sequence() == right.sequence() && left.incarnation() == right.incarnation() &&
         left.router() == right.router();
}

} // namespace workshatch::admission

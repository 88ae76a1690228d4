/// @file
/// How long after its beginning a stream may still be resumed.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/relay/configuration.h"

namespace workshatch::relay {

/// Time within which a caller whose stream broke off resumes it.
inline constexpr int64_t kResumeWithinMs = 10'000;

/// @return milliseconds from the beginning of an attempt on the route until its stream cannot be
/// resumed any more.
inline int64_t streamLifetimeMs(const Route& route) { return route.timeout_ms + kResumeWithinMs; }

/// @return the longest lifetime of a stream on any route, milliseconds.
inline int64_t longestStreamLifetimeMs(const Configuration& configuration) {
  int64_t longest_ms = kResumeWithinMs;
  for (const Route& route : configuration.routes) {
    if (route.kind == RouteKind::Streaming) {
      longest_ms = std::max(longest_ms, streamLifetimeMs(route));
    }
  }
  return longest_ms;
}

} // namespace workshatch::relay

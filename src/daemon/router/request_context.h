/// @file
/// State of one caller's request while it is being served.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "adapters/http/problem.h"
#include "core/serving/serving_state.h"

namespace workshatch::daemon {

/// An engine that was considered for a request but not used, and why.
struct SkippedEngine {
  std::string engine;
  std::string reason;
};

/// Accessed only by the coroutine that serves the request.
struct RequestContext {
  std::string id;
  std::string tenant;
  std::string service;
  /// Fingerprint of the session; zero if there is none.
  uint64_t session = 0;
  /// Load of the request in the load unit of its service.
  uint64_t cost = 1;
  int32_t priority = 0;
  int64_t started_ms = 0;
  int64_t deadline_ms = 0;
  std::chrono::steady_clock::time_point started;
  serving::ServingSnapshot serving_snapshot;
  std::vector<SkippedEngine> skipped_engines;
  /// Whether a byte of the request may have reached a back end.
  bool maybe_sent = false;
};

} // namespace workshatch::daemon

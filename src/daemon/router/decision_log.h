/// @file
/// Log entries for routing decisions and for the outcomes of requests.
#pragma once

#include <string>

#include "daemon/router/request_context.h"

namespace workshatch::daemon {

/// Result of choosing an engine for a request. `engine` and `owner` are empty if none was found.
struct Decision {
  std::string engine;
  std::string owner;
  /// Why this engine was chosen, or why none was found.
  std::string reason;
};

/// Logs the decision with the request's id, tenant, session, service, the engines that were
/// skipped, the configuration revision, the view, and the time since the request started.
/// @return the time since the request started, in microseconds.
uint64_t logDecision(const RequestContext& context, const Decision& decision);

/// Logs how a request ended. `status` is the HTTP status, or zero if the caller hung up.
void logOutcome(const RequestContext& context, const std::string& engine, http::Execution execution,
                unsigned status);

} // namespace workshatch::daemon

/// @file
/// HTTP server limits and error responses shared by the roles.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "adapters/http/http_server.h"
#include "adapters/http/problem.h"

namespace workshatch::daemon {

/// Limits for calls of operators, who send whole configurations in one request, possibly over slow
/// links.
inline http::ServerLimits operatorLimits() {
  constexpr uint64_t kBodyBytes = uint64_t{16} * 1024 * 1024;
  constexpr std::chrono::milliseconds kReadTimeout{10'000};
  http::ServerLimits limits;
  limits.body_bytes = kBodyBytes;
  limits.read_timeout = kReadTimeout;
  return limits;
}

/// Limits for calls that need no body: readiness, addresses and metrics.
inline http::ServerLimits smallLimits() {
  constexpr uint64_t kBodyBytes = 4096;
  http::ServerLimits limits;
  limits.body_bytes = kBodyBytes;
  return limits;
}

/// Builds the response to a request that the HTTP server rejects.
inline http::Response refuseBadRequest(http::Status status, const std::string& reason) {
  return http::makeProblem(
      http::Problem{.status = status, .code = "bad_request", .detail = reason});
}

} // namespace workshatch::daemon

/// @file
/// HTTP server limits and error responses shared by the roles.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "adapters/http/http_server.h"
#include "adapters/http/problem.h"
#include "core/limits/body_budget.h"
#include "core/limits/memory_shares.h"

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

/// Limits the memory that the bodies of operators' calls take in the process. A call above it is
/// refused at its head; nothing of it was done.
/// @param memory_bytes limit of the process; zero: none is known
inline http::BodyAdmission operatorBodies(uint64_t memory_bytes) {
  constexpr size_t kSmallCallsDivisor = 4;
  const size_t share = limits::sharesOf(memory_bytes).operator_bytes;
  constexpr uint32_t kRetryAfterMs = 1000;
  const auto refuse = [](const http::Request& /*head*/) {
    return http::makeProblem(
        http::Problem{.status = http::Status::service_unavailable,
                      .code = "no_memory",
                      .detail = "this process has no memory left for the body of the call",
                      .retry_after_ms = kRetryAfterMs});
  };
  return {.budget = std::make_shared<limits::BodyBudget>(limits::BodyBudgetLimits{
              .process_bytes = share, .reserved_bytes = share / kSmallCallsDivisor}),
          .refuse = refuse};
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

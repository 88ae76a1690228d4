/// @file
/// One request of a caller, checked and routed.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "adapters/http/http_server.h"
#include "adapters/http/problem.h"
#include "core/relay/request_identity.h"
#include "core/relay/route_table.h"
#include "daemon/relay/relay_state.h"

namespace workshatch::daemon {

/// A request that may be sent to a runner. Times are milliseconds of the monotonic clock.
struct RelayRequest {
  std::shared_ptr<const relay::RouteTable> routes;
  const relay::Route* route = nullptr;
  /// Null: the request needs no key.
  const relay::Tenant* tenant = nullptr;
  std::string service;
  std::string id;
  /// The same for each try of this request.
  relay::RequestIdentity identity;
  int64_t received_ms = 0;
  /// When the caller gets its final answer at the latest.
  int64_t deadline_ms = 0;
  /// Fingerprint of the shared part of the prompt; zero: none.
  uint64_t cache_key = 0;
  /// Fingerprint of the shared part before that one; zero: none.
  uint64_t parent_key = 0;
  /// Tokens of the prompt up to the end of either part.
  uint64_t cached_tokens = 0;
  uint64_t parent_tokens = 0;
  /// Microseconds in which an engine copies a token to another; zero: not known.
  double token_copy_us = 0;
  /// The service's runners are model engines.
  bool engine = false;
  /// Claim on a busy runner; its priority is also told to the runner.
  relay::RequestRank rank;

  /// Whether an attempt that may have run may be followed by another.
  bool repeatable() const {
    return route->kind == relay::RouteKind::Repeatable ||
           (route->kind == relay::RouteKind::Streaming && route->resumable);
  }
};

/// Checks and routes a request.
/// @param received_ms when the request had come
/// @return the request, or the refusal that the caller gets.
std::variant<RelayRequest, http::Problem> admit(const http::Request& request,
                                                const RelayState& state, int64_t received_ms);

/// @return for how many milliseconds this request may wait for the relay's first lease; zero: the
/// relay has had one, or none is expected soon.
int64_t leaseWaitMs(const http::Request& request, const RelayState& state, int64_t received_ms);

/// What differs from attempt to attempt of one request.
struct AttemptHeaders {
  std::string runner_id;
  int64_t remaining_ms = 0;
  /// Empty: from the beginning.
  std::string last_event_id;
  /// Address of a runner that likely keeps the prompt's shared part; empty: none.
  std::string fetch_from;
};

/// @return the request's head and body as a runner gets them.
std::string formatForRunner(const http::Request& request, const RelayRequest& relayed,
                            const RelayState& state, const AttemptHeaders& attempt);

} // namespace workshatch::daemon

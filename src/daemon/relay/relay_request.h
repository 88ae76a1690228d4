/// @file
/// Admission of callers' requests: validation and routing.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "adapters/http/http_server.h"
#include "adapters/http/problem.h"
#include "core/relay/request_identity.h"
#include "core/relay/route_table.h"
#include "core/scheduling/request_demand.h"
#include "daemon/relay/relay_state.h"
#include "daemon/relay/request_format.h"

namespace workshatch::daemon {

/// An admitted request, which may be sent to a runner. Times are milliseconds of the monotonic
/// clock.
struct RelayRequest {
  /// Version of the configuration that the request was admitted under.
  uint64_t configuration_version = 0;
  /// A copy, as `tenant` is: a reference into the route table would keep a replaced configuration
  /// in memory until the request ends.
  std::shared_ptr<const relay::Route> route;
  /// Null if the request needs no key.
  std::shared_ptr<const relay::Tenant> tenant;
  std::string service;
  std::string id;
  /// Request id of the attempt that brought the first event of the stream that the caller resumes;
  /// empty if the request does not name one.
  std::string resumes;
  /// Equal for all requests with the same tenant, method, target and body.
  relay::RequestIdentity identity;
  int64_t received_ms = 0;
  /// Latest time of the final response to the caller.
  int64_t deadline_ms = 0;
  /// Fingerprints of the prefix blocks of the prompt in their order, without the last one, which
  /// belongs to the request or its session alone.
  std::vector<uint64_t> parts;
  /// Fingerprint of the last shared prefix block of the prompt; zero if there is none.
  uint64_t cache_key = 0;
  /// Fingerprint of the shared prefix block before it; zero if there is none.
  uint64_t parent_key = 0;
  /// Numbers of prompt tokens up to the end of the last shared block and of the one before it.
  uint64_t cached_tokens = 0;
  uint64_t parent_tokens = 0;
  /// Microseconds that an engine needs to copy one token's cache to another engine; zero if
  /// unknown.
  double token_copy_us = 0;
  /// Capacity of the KV cache of the service's engines in tokens; zero if not configured.
  uint64_t kv_capacity_tokens = 0;
  /// Whether the service's runners are model engines.
  bool engine = false;
  /// Rank among competing requests for a busy runner. Its priority is also sent to the runner.
  relay::RequestRank rank;
  /// Set if another relay forwarded the request here. It is not forwarded again.
  std::optional<ForwardOrigin> origin;
  /// What the request needs at a runner, and when its response is due.
  relay::RequestDemand demand;

  /// @return whether another attempt is permitted after one that may have run the request.
  bool repeatable() const {
    return route->kind == relay::RouteKind::Repeatable ||
           (route->kind == relay::RouteKind::Streaming && route->resumable);
  }
  /// @return the number of runners on which the request may run, through this relay and the one
  /// that forwarded it.
  uint32_t maxRuns() const {
    const uint32_t of_route = route->max_attempts;
    return origin ? std::min(of_route, origin->max_runs.value_or(of_route)) : of_route;
  }
};

/// Validates and routes a request. Also counts the sizes that callers state, adds them to the
/// averages of the route, and counts the request towards the priority shares of its service.
/// @param received_ms when the request was received
/// @param origin set if another relay forwarded the request
/// @return the admitted request, or the problem to send to the caller.
std::variant<RelayRequest, http::Problem> admit(const http::Request& request, RelayState& state,
                                                int64_t received_ms,
                                                std::optional<ForwardOrigin> origin = {});

/// @return milliseconds for which this request may wait for the relay's first lease; zero if the
/// relay has had a lease or none is expected soon enough.
int64_t leaseWaitMs(const http::Request& request, const RelayState& state, int64_t received_ms);

} // namespace workshatch::daemon

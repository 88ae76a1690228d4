/// @file
/// The configuration that operators send for relayed services: routes, services, caller limits and
/// tenants.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/result.h"

namespace workshatch::relay {

/// How often a request of a route may be executed.
enum class RouteKind {
  /// May run more than once.
  Repeatable,
  /// Runs at most once for each attempt of a caller.
  RunOnce,
  /// Answered with an event stream; runs at most once unless the route is resumable.
  Streaming,
};

/// A service that receives a share of a route's requests.
struct RouteTarget {
  std::string service;
  uint32_t weight = 1;
};

struct Route {
  std::string name;
  /// Host without port, in lower case.
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::RunOnce;
  /// Time limit of a request.
  uint32_t timeout_ms = 0;
  /// Target latency: an answer within this time gets its full credit.
  uint32_t objective_ms = 0;
  /// Longest pause between two events of a stream that is still in time; 0: not stated.
  uint32_t pause_objective_ms = 0;
  /// Priority; 0 is the most urgent.
  uint32_t priority = 0;
  /// Maximum number of runners that one attempt of a caller may be sent to.
  uint32_t max_attempts = 1;
  /// Whether requests are accepted without a key.
  bool anonymous = false;
  /// Whether a stream that breaks off may be resumed at another runner.
  bool resumable = false;
  std::vector<RouteTarget> targets;
  /// Regions in which the route's requests may run; empty: any region.
  std::vector<std::string> home_regions;
};

struct Service {
  std::string name;
  /// Whether the runners are model engines with a prompt cache.
  bool model_engine = false;
  /// Capacity of one engine's KV cache in tokens; 0 if not configured.
  uint64_t kv_capacity_tokens = 0;
  /// Output tokens per event of a stream; 0 if not configured.
  uint32_t tokens_per_event = 0;
  /// Size of a token in the KV cache in bytes, and bandwidth between engines in Mbit/s; 0 if not
  /// configured.
  double kv_token_bytes = 0;
  double engine_link_mbps = 0;
  /// Time for which a runner is cold after its start, in seconds.
  double cold_s = 0;
  /// Requests per second that a cold runner can take; 0 if it takes as many as a warm one.
  double cold_requests_per_s = 0;
};

/// Limits on what a caller may send and on how long it may take.
struct CallerLimits {
  uint32_t header_bytes = 16U * 1024;
  uint32_t body_bytes = 4U * 1024 * 1024;
  uint32_t header_timeout_ms = 3000;
  uint32_t idle_timeout_ms = 15'000;
};

struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  /// Priority; 0 is the most urgent. Takes precedence over the route's priority.
  uint32_t priority = 0;
  /// Regions in which the tenant's requests may run; empty: any region. Applies in addition to the
  /// route's regions.
  std::vector<std::string> home_regions;
};

struct Configuration {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
  /// If empty, no request needs a key.
  std::vector<Tenant> tenants;
};

/// @return the first error that makes the configuration invalid, with the name of the entry at
/// fault, or nothing if it is valid.
std::optional<Error> findConfigurationError(const Configuration& configuration);

} // namespace workshatch::relay

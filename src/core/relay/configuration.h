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

/// How often a request of a route may run.
enum class RouteKind {
  /// May run more than once.
  Repeatable,
  /// Runs at most once for each attempt of a caller.
  RunOnce,
  /// Answered by a stream of events; runs at most once, unless it may be resumed.
  Streaming,
};

/// A service that a route's requests go to, with its share of them.
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
  /// Longest time that a request is held.
  uint32_t timeout_ms = 0;
  /// Time within which an answer is worth its full credit.
  uint32_t objective_ms = 0;
  /// Rank; 0 is the most urgent.
  uint32_t priority = 0;
  /// Most runners that one attempt of a caller may run on.
  uint32_t max_attempts = 1;
  /// Needs no key.
  bool anonymous = false;
  /// A broken stream may go on at another runner.
  bool resumable = false;
  std::vector<RouteTarget> targets;
  /// Regions in which its requests may run; empty: any.
  std::vector<std::string> home_regions;
};

struct Service {
  std::string name;
  /// Runners are model engines with a prompt cache.
  bool model_engine = false;
  /// Tokens that one engine keeps; zero: not told.
  uint64_t kv_capacity_tokens = 0;
  /// Bytes that a token takes in an engine's memory, and bandwidth between engines in Mbit/s; zero:
  /// not told.
  double kv_token_bytes = 0;
  double engine_link_mbps = 0;
  /// Seconds for which a runner is cold after its start.
  double cold_s = 0;
  /// Requests a second that a cold runner bears; zero: no fewer than a warm one.
  double cold_requests_per_s = 0;
};

/// What a caller may send and how long it may take.
struct CallerLimits {
  uint32_t header_bytes = 16U * 1024;
  uint32_t body_bytes = 4U * 1024 * 1024;
  uint32_t header_timeout_ms = 3000;
  uint32_t idle_timeout_ms = 15'000;
};

struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  /// Rank; 0 is the most urgent. Goes before a route's.
  uint32_t priority = 0;
  /// Regions in which its requests may run; empty: any. Binds beside a route's.
  std::vector<std::string> home_regions;
};

struct Configuration {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
  /// Empty: no request needs a key.
  std::vector<Tenant> tenants;
};

/// @return what makes the configuration invalid, naming the entry at fault, or nothing.
std::optional<Error> findConfigurationError(const Configuration& configuration);

} // namespace workshatch::relay

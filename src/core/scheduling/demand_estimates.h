/// @file
/// Estimates what a request needs at a model engine: from the figures that its caller states, and
/// from recent requests of the same route and service where the caller states none.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/relay/configuration.h"
#include "core/scheduling/request_demand.h"

namespace workshatch::relay {

/// A token count above this is not plausible: it is a multiple of what any engine's KV cache holds.
inline constexpr uint64_t kMaxPlausibleTokens = 10'000'000;

/// Number of recent requests that an average covers. The sizes of a route's requests differ by a
/// factor of several, so that the mean of a few of them says little about the next one; a relay
/// gets about one request of a route per second, so that a longer average would lag by minutes.
inline constexpr uint32_t kAveragedRequests = 20;

/// Moving average of token counts. Not safe for concurrent use.
class TokenAverage {
public:
  /// The first counts have equal weights, so that the average does not depend mostly on the first
  /// one.
  void add(uint32_t tokens);
  /// @return the average; nullopt if no count was added.
  std::optional<uint32_t> value() const;

private:
  double mean_ = 0;
  uint32_t samples_ = 0;
};

/// @return the figures without those that are not plausible, which are counted as rejected: a
/// prompt without tokens, or more than `kMaxPlausibleTokens`.
StatedDemand withoutImplausible(StatedDemand stated);

/// @return a demand of unknown size with the objectives of the route. Only streams have pauses, so
/// that the pause objective of another route is ignored.
RequestDemand objectivesOf(const Route& route);

/// Moving averages of the sizes of requests, for each route and service in use.
///
/// Load pattern: the sizes of requests vary by a factor of ten between routes, and some callers
/// state no size. Counted as a single request each, a few long prompts fill an engine that seems to
/// have free slots.
///
/// Prompt averages are learned from stated figures, output averages from the events of completed
/// streams. A figure that a caller states for its own request always takes precedence.
///
/// Limits: averages are those of this relay, start empty with its process, and follow a change of a
/// route's requests over about `kAveragedRequests` of them. A caller's untrue figure also changes
/// the estimates for other callers of the route that state none.
///
/// Guarantee: there is at most one entry for each route and service that the configuration has.
/// Not safe for concurrent use.
class DemandEstimates {
public:
  /// Learns the figures of a request that is admitted.
  /// @param route route of the configuration in force
  /// @param service the service of the route that gets the request
  /// @param stated plausible figures
  /// @return the demand of the request; its size is unknown if the service has no model engines.
  RequestDemand admit(const Route& route, const Service& service, const StatedDemand& stated);

  /// Learns the output of a completed stream. Ignored if the service does not state the tokens per
  /// event, or if the route and service have left the configuration since the request was admitted.
  /// @param events number of events of the whole stream
  void recordOutput(const Route& route, const Service& service, uint32_t events);

  /// Drops the averages of routes and services that the configuration in force no longer has.
  void retain(const Configuration& configuration);

  /// @return the number of routes and services with averages.
  size_t size() const { return averages_.size(); }

private:
  struct RouteAverages {
    TokenAverage prompt_tokens;
    TokenAverage output_tokens;
  };

  /// By fingerprint of route and service. Names of routes are optional and may be equal, so that a
  /// route is identified by its host and prefix.
  std::unordered_map<uint64_t, RouteAverages> averages_;
};

} // namespace workshatch::relay

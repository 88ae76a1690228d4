/// @file
/// Which runner a request asks for a place next, and up to which load, where owners count places.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/relay/place_limits.h"
#include "core/relay/runner.h"

namespace workshatch::relay {

/// Load pattern: so many relays that the sums of their loads are older than a request lasts. What
/// is known of a single runner is then worth little, while its owner knows its load exactly. A
/// request asks one runner after the other, each up to a limit, until an owner gives a place.
///
/// Prompts ask their homes in the order of the ranking, so that a shared part comes to as few
/// runners as it needs. Requests without a shared part ask the less used of two drawn by lot:
/// relays that all chose the least used by the same old sums would meet at one runner.
struct PlacementOptions {
  /// Homes that a prompt asks while the service is not busy, and while it is. To read a long part
  /// anew on yet another runner takes more of it than the request itself.
  size_t homes = 4;
  size_t busy_homes = 3;
  /// Runners drawn by lot that are asked after the homes, or where there are none. Each costs a
  /// round trip.
  size_t draws = 3;
  /// Draws that ask for a place without waiting in the runner's queue.
  size_t draws_without_queue = 2;
  /// Requests over its places that a home may have while the service is not busy: they wait there
  /// for less time than it takes to read their prompts elsewhere.
  uint32_t home_slack = 6;
  PlaceLimitOptions places;
};

/// What the next offer depends on.
struct PlacementQuestion {
  /// Runners that may be used; for a prompt in the ranking of its shared part.
  const std::vector<std::shared_ptr<Runner>>& candidates;
  /// Ids of the runners whose owners gave no place.
  const std::vector<std::string>& refused;
  /// `candidates` are ranked.
  bool by_prompt = false;
  bool engine = false;
  /// Most places of the service are taken.
  bool busy = false;
  Standing standing;
  /// Load at which a home is left for the next in the ranking while the service is not busy.
  uint32_t leave_load = 0;
  /// Load over which no runner is filled while others are below.
  uint32_t cap_load = 0;
};

/// A runner to ask for a place.
struct PlaceOffer {
  std::shared_ptr<Runner> runner;
  /// Requests in progress there, this one included, up to which the place is taken.
  uint32_t limit = 0;
  /// Candidates ranked before it.
  uint32_t passed_over = 0;
};

/// @return the runner to ask next; nothing: all that the request may ask are full.
std::optional<PlaceOffer> nextOffer(const PlacementOptions& options,
                                    const PlacementQuestion& question);

} // namespace workshatch::relay

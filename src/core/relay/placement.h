/// @file
/// Which runner a request asks for a place next, and up to which load, where owners count places.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "core/relay/runner.h"
#include "core/relay/slot_limits.h"

namespace workshatch::relay {

/// Load pattern: so many relays that the sums of their loads are older than a request lasts. What
/// is known of a single runner is then worth little, while its owner knows its load exactly. A
/// request asks one runner after the other, each up to a limit, until an owner gives a place.
///
/// Prompts ask their homes in the order of the ranking, so that a shared part comes to as few
/// runners as it needs: to read a long part on yet another runner, or to copy it there, costs more
/// than the request itself. Requests without a shared part ask one of two drawn by lot, that where
/// their work is expected to take less time: relays that all chose the least used by the same old
/// sums would meet at one runner. A home whose work takes longer at this moment, since its machine
/// is shared, is filled less.
struct PlacementOptions {
  /// Homes that a prompt asks while the service is not busy, and while it is.
  size_t homes = 4;
  size_t busy_homes = 3;
  /// Homes that are asked once more, up to their places, when a runner drawn by lot is over the
  /// load cap as well as the homes: then all are, and the mean load that the cap follows is old. It
  /// lags by one to two seconds; with limits that followed it, 2 in 10 prompts went past all homes
  /// while the load of the fleet was growing.
  size_t homes_retried = 2;
  /// Runners drawn by lot that a request without a shared part asks; the last may let it wait in
  /// the runner's queue.
  size_t random_candidates = 3;
  /// Requests over its places that a home may have while the service is not busy: they wait there
  /// for less time than it takes to read their prompts elsewhere.
  uint32_t home_slack = 6;
  SlotLimitOptions places;
};

/// What the next offer depends on.
struct PlacementQuery {
  /// Runners that may be used; for a prompt in the ranking of its shared part.
  const std::vector<std::shared_ptr<Runner>>& candidates;
  /// Offers of this request that were refused so far.
  size_t refused = 0;
  /// `candidates` are ranked.
  bool by_prompt = false;
  bool engine = false;
  /// Most places of the service are taken.
  bool busy = false;
  RequestRank rank;
  int64_t now_ms = 0;
  /// Load over which no runner is filled while others are below; none while the mean is not known.
  std::optional<uint32_t> cap_load;
};

/// A runner to ask for a place.
struct SlotOffer {
  std::shared_ptr<Runner> runner;
  /// Requests in progress there, this one included, up to which the place is taken.
  uint32_t limit = 0;
  /// Candidates ranked before it.
  uint32_t passed_over = 0;
};

/// @return the runner to ask next; nothing: all that the request may ask are full.
std::optional<SlotOffer> nextOffer(const PlacementOptions& options, const PlacementQuery& question);

} // namespace workshatch::relay

/// @file
/// How many requests may be in progress at a runner before it gets no further request of a given
/// rank.
#pragma once

#include <cstdint>
#include <optional>

namespace workshatch::relay {

/// The properties of a request that determine how many slots of a runner it may use.
struct RequestRank {
  /// 0 is the most urgent, 9 the least urgent.
  uint32_t priority = 0;
  /// Number of more urgent priorities that slots are reserved for, each weighted by how common its
  /// requests are (`PriorityShares`). Empty: not known; slots are reserved for all of them.
  std::optional<double> reserved_steps;
  /// Whether the request's tenant uses more than its share of the fleet.
  bool over_share = false;
  /// Random number that selects the few requests of each priority that count as the most urgent.
  uint64_t draw = 0;
};

/// Trunk reservation: the last slots of a runner are reserved for more urgent requests, so that
/// these find a free slot without waiting and without preempting running requests.
struct SlotLimitOptions {
  /// Fraction of a runner's slots that requests leave free for each more urgent priority. With 48
  /// slots it is two slots for each; fewer would be lost in the lag of the load totals.
  double reserved_fraction_per_priority = 0.05;
  /// One request in this many counts as the most urgent, whatever its priority, so that no kind of
  /// request starves while more urgent requests alone fill the fleet.
  uint64_t urgent_one_in = 8;
  /// Additional fraction that requests of a tenant over its share leave free. With a quarter, a
  /// fleet that could have served all requests refused 7 in 100 on a day on which one tenant sent
  /// ten times its usual number.
  double reserved_fraction_over_share = 0.1;
  /// Minimum fraction of the slots that every request may use. A fleet that refuses work while half
  /// of its slots are free serves nobody better.
  double min_usable_fraction = 0.6;
  /// Maximum number of requests in progress at a plain service's runner for each of its slots,
  /// while its service time is not known. Requests beyond the slots wait in the runner's queue, for
  /// at most one service time.
  double plain_requests_per_slot = 2;
};

/// @return the fraction of a runner's capacity that requests of this rank may use.
double usableFraction(const SlotLimitOptions& options, const RequestRank& rank);

/// @param slots number of requests that the runner processes at the same time; 0 if unknown
/// @param engine whether the runner is a model engine, where a request that waits for a slot delays
/// its first event
/// @return the number of requests in progress below which the runner may get another request of
/// this rank
uint32_t slotLimit(const SlotLimitOptions& options, uint32_t slots, bool engine,
                   const RequestRank& rank);

} // namespace workshatch::relay

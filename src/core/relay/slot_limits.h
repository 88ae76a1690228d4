/// @file
/// How full a runner may be before a request is not sent to it any more.
#pragma once

#include <cstdint>

namespace workshatch::relay {

/// What a request's claim on a busy runner depends on.
struct RequestRank {
  /// 0 is the most urgent, 9 the least.
  uint32_t priority = 0;
  /// The request's tenant uses more than its share of the fleet.
  bool over_share = false;
  /// Draws the few of each priority that count as the most urgent.
  uint64_t draw = 0;
};

/// Trunk reservation: the last places of a runner are kept for the more urgent requests, so that
/// those find one without waiting, and without preempting what runs.
struct SlotLimitOptions {
  /// Part of a runner's places that the least urgent requests leave free, for each step of
  /// priority. With 48 places two; fewer are lost in what sums of loads lag behind.
  double reserved_fraction_per_priority = 0.05;
  /// One request in so many counts as the most urgent, whatever its priority, so that no kind of
  /// request starves while more urgent ones alone fill the fleet.
  uint64_t urgent_one_in = 8;
  /// Further part that a tenant over its share leaves free. With a quarter, a fleet that could have
  /// served all refused 7 in 100 of a day with one tenant at ten times its usual.
  double reserved_fraction_over_share = 0.1;
  /// No request is kept from more than this part. A fleet that refuses work while half of its
  /// places are free serves nobody better.
  double min_usable_fraction = 0.6;
  /// Requests in progress at a plain service's runner, as a multiple of its places. What is over
  /// one waits in the runner's queue, for two services' times at most.
  double service_queue_factor = 3;
};

/// @param places requests that the runner works on at the same time; zero: not known
/// @param engine a model engine, where a request that waits for a place delays its first event
/// @return requests in progress up to which another one of this standing is sent there.
uint32_t slotLimit(const SlotLimitOptions& options, uint32_t places, bool engine,
                   const RequestRank& rank);

} // namespace workshatch::relay

/// @file
/// Chooses the next runner at which a request tries to get a slot, and the load limit there, when
/// slot owners count the slots.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "core/relay/runner.h"
#include "core/scheduling/request_demand.h"
#include "core/scheduling/slot_limits.h"

namespace workshatch::relay {

/// Fraction of the latency objective within which a prompt is expected to start, or a plain request
/// to end; the rest covers transit and the spread of the times.
inline constexpr double kInTimeFraction = 0.8;

/// Limits of a prompt at a model engine, besides that of its slots. Zero: no limit.
struct PromptLimits {
  /// Tokens in the engine's KV cache, those of the prompt included.
  uint64_t kv_limit = 0;
  /// Longest expected time until the first event, in milliseconds.
  uint32_t start_within_ms = 0;
};

/// @param kv_capacity_tokens capacity of an engine's KV cache; 0 if not configured
/// @return the limits of a prompt of this rank and demand. Prompts of a lower priority leave the
/// same fraction of the KV cache to more urgent ones as of the slots. The start is limited only if
/// the demand is known.
PromptLimits promptLimits(const SlotLimitOptions& options, const RequestRank& rank,
                          uint64_t kv_capacity_tokens, const RequestDemand& demand);

/// Options for the choice of runners when slot owners count the slots.
///
/// Load pattern: there are so many relays that the load totals are older than a request lasts. They
/// are then a poor estimate of a single runner's load, while the owner of the runner knows its load
/// exactly. A request tries one runner after the other, each up to a limit, until an owner grants a
/// slot.
///
/// Prompts try their homes, the runners that rank first for their shared prefix, in the order of
/// the ranking, so that a prefix is cached on as few runners as needed: reading a long prefix on
/// another runner, or copying it there, costs more than the request itself. A request without a
/// shared prefix tries one of two randomly drawn runners, the one where its work is expected to
/// take less time, by the service times that slot owners reported. If all relays chose the least
/// loaded runner by the same outdated totals, they would all choose the same one. A home that works
/// slower at the moment, because it shares its machine, gets fewer requests.
struct PlacementOptions {
  /// Number of homes that a prompt tries while the service is not busy, and while it is.
  size_t homes = 4;
  size_t busy_homes = 3;
  /// Number of homes that are tried once more, up to their full slot limit, when the homes and a
  /// randomly drawn runner are all over the load cap. In that case all runners are over it, and the
  /// mean load behind the cap is outdated: it lags by one to two seconds. With limits that followed
  /// the cap only, 2 in 10 prompts were passed on by all their homes while the load of the fleet
  /// was growing.
  size_t homes_retried = 2;
  /// Number of randomly drawn runners that a request without a shared prefix tries. At the last one
  /// it may wait in the runner's queue.
  size_t random_candidates = 3;
  /// Number of further runners that such a request tries in place of runners where it would be late
  /// or is likely to fail. Such runners say nothing about the load of the others: without further
  /// tries, requests were refused while most runners were idle.
  size_t replacement_candidates = 2;
  /// Number of requests over its slots that a home may have while the service is not busy: queueing
  /// there takes less time than reading their prompts on another runner.
  uint32_t home_slack = 6;
  SlotLimitOptions slot_limits;
};

/// Input of the choice of the next offer.
struct PlacementQuery {
  /// Runners that may be used. For a prompt they are in the ranking of its shared prefix.
  const std::vector<std::shared_ptr<Runner>>& candidates;
  /// Number of offers of this request that slot owners refused so far.
  size_t refused = 0;
  /// How many of these offers were at runners that turned out to be unsuitable for the request.
  /// These are no longer among the candidates.
  size_t unsuitable = 0;
  /// The request is a prompt, and `candidates` are ranked for its prefix.
  bool by_prompt = false;
  bool engine = false;
  /// Most slots of the service are in use.
  bool busy = false;
  RequestRank rank;
  /// Limit of the expected time of a request to a plain runner, in milliseconds, for requests that
  /// may use all slots; 0: no limit.
  uint32_t start_within_ms = 0;
  int64_t now_ms = 0;
  /// Load up to which a runner is filled while others have less; empty if the mean load is not
  /// known.
  std::optional<uint32_t> cap_load;
  PromptLimits prompt_limits;
};

/// A runner at which a slot may be requested.
struct SlotOffer {
  std::shared_ptr<Runner> runner;
  /// Highest number of requests in progress there, this one included, with which the slot may be
  /// used.
  uint32_t limit = 0;
  /// The last offers of a prompt have no limit of the start unless the service is busy, so that a
  /// prompt is refused because of a late start only when most slots are in use.
  PromptLimits prompt_limits;
  /// Limit of the expected time of the request there, in milliseconds; 0: no limit. Where the owner
  /// knows the service time, it replaces a `limit` above the runner's slots.
  uint32_t start_within_ms = 0;
  /// Number of candidates ranked before it.
  uint32_t passed_over = 0;
};

/// @return the runner to try next; empty if all that the request may try are full.
std::optional<SlotOffer> nextOffer(const PlacementOptions& options, const PlacementQuery& query);

} // namespace workshatch::relay

#include "core/scheduling/placement.h"

#include <algorithm>

#include "core/scheduling/service_reports.h"
#include "core/scheduling/work_time.h"

namespace workshatch::relay {

namespace {

/// Fraction of the KV cache that is left free, because about half of the outputs are longer than
/// expected.
constexpr double kKvReserve = 0.1;

using Candidates = std::vector<std::shared_ptr<Runner>>;

/// Finalizer of MurmurHash3: maps nearby numbers to unrelated ones.
uint64_t mixBits(uint64_t number) {
  number = (number ^ (number >> 33U)) * 0xff51afd7ed558ccdU;
  number = (number ^ (number >> 33U)) * 0xc4ceb9fe1a85ec53U;
  return number ^ (number >> 33U);
}

uint32_t capped(const PlacementQuery& query, uint32_t limit) {
  return std::min(limit, query.cap_load.value_or(limit));
}

uint32_t fullLimit(const PlacementOptions& options, const PlacementQuery& query,
                   const Runner& runner) {
  return slotLimit(options.slot_limits, runner.entry.slots(), query.engine, query.rank);
}

/// Load limit of a home: the load cap, or `home_slack` over the slots that it can serve at its
/// present speed, whichever is lower.
uint32_t homeLimit(const PlacementOptions& options, const PlacementQuery& query,
                   const Runner& runner) {
  const uint32_t slots = runner.entry.slots();
  if (slots == 0) {
    return capped(query, fullLimit(options, query, runner));
  }
  const double served = slots / workTimeFactor(runner, query.now_ms);
  return capped(query, static_cast<uint32_t>(served) + options.home_slack);
}

/// Limits of the last offers of a prompt, which have none for its start unless the service is busy.
PromptLimits lastLimits(const PlacementQuery& query) {
  PromptLimits limits = query.prompt_limits;
  limits.start_within_ms = query.busy ? limits.start_within_ms : 0;
  return limits;
}

/// Expected duration of a request; its unit is the same for all runners.
/// @param usual_ms service time of runners about which nothing is known; empty if no service time
/// is known
double expectedTime(const PlacementQuery& query, const Runner& runner,
                    std::optional<double> usual_ms) {
  const uint32_t slots = runner.entry.slots();
  if (!usual_ms || slots == 0) {
    return (runner.load() + 1) * workTimeFactor(runner, query.now_ms);
  }
  const double service_ms = reportedServiceMs(runner, query.now_ms).value_or(*usual_ms);
  return expectedServiceMs(service_ms, runner.load(), slots);
}

/// @param attempt number of the draw for this request, so that each draw differs
/// @return of two runners drawn at random from those after the first `homes`, the one where a
/// request is expected to take less time.
std::shared_ptr<Runner> chooseOfTwoRandom(const PlacementQuery& query, size_t homes,
                                          uint64_t attempt) {
  const size_t count = query.candidates.size() - homes;
  constexpr uint64_t kDrawsPerChoice = 2;
  const uint64_t first_draw = query.rank.draw + kDrawsPerChoice * attempt;
  const auto& first = query.candidates[homes + mixBits(first_draw) % count];
  const auto& second = query.candidates[homes + mixBits(first_draw + 1) % count];
  const auto usual_ms =
      query.engine ? std::nullopt : meanReportedServiceMs(query.candidates, query.now_ms);
  return expectedTime(query, *second, usual_ms) < expectedTime(query, *first, usual_ms) ? second
                                                                                        : first;
}

/// Offer for a prompt while the service is busy: few homes, each up to its full slot limit.
std::optional<SlotOffer> offerBusyHome(const PlacementOptions& options,
                                       const PlacementQuery& query) {
  const size_t homes = std::min(options.busy_homes, query.candidates.size());
  if (query.refused >= homes) {
    return std::nullopt;
  }
  const auto& home = query.candidates[query.refused];
  return SlotOffer{.runner = home,
                   .limit = fullLimit(options, query, *home),
                   .prompt_limits = query.prompt_limits,
                   .passed_over = static_cast<uint32_t>(query.refused)};
}

/// Offer for a prompt while the service is not busy: the homes up to the load cap, then one
/// randomly drawn runner, then the first homes again up to their full slot limit.
std::optional<SlotOffer> offerHome(const PlacementOptions& options, const PlacementQuery& query) {
  const size_t homes = std::min(options.homes, query.candidates.size());
  if (query.refused < homes) {
    const auto& home = query.candidates[query.refused];
    return SlotOffer{.runner = home,
                     .limit = homeLimit(options, query, *home),
                     .prompt_limits = query.prompt_limits,
                     .passed_over = static_cast<uint32_t>(query.refused)};
  }
  const size_t drawn = query.candidates.size() > homes ? 1 : 0;
  if (query.refused < homes + drawn) {
    const auto runner = chooseOfTwoRandom(query, homes, 0);
    return SlotOffer{.runner = runner,
                     .limit = capped(query, fullLimit(options, query, *runner)),
                     .prompt_limits = query.prompt_limits,
                     .passed_over = static_cast<uint32_t>(homes)};
  }
  const size_t retry = query.refused - homes - drawn;
  if (retry >= std::min(options.homes_retried, homes)) {
    return std::nullopt;
  }
  const auto& home = query.candidates[retry];
  return SlotOffer{.runner = home,
                   .limit = fullLimit(options, query, *home),
                   .prompt_limits = lastLimits(query),
                   .passed_over = static_cast<uint32_t>(retry)};
}

/// Offer for a request without a shared prefix: randomly drawn runners, the last of them up to its
/// queue limit.
std::optional<SlotOffer> offerRandom(const PlacementOptions& options, const PlacementQuery& query) {
  const size_t random_candidates =
      std::min(options.random_candidates, query.candidates.size() + query.unsuitable);
  const size_t replacements = std::min(options.replacement_candidates, query.unsuitable);
  if (query.refused >= random_candidates + replacements) {
    return std::nullopt;
  }
  const auto runner = chooseOfTwoRandom(query, 0, query.refused);
  const uint32_t slots = runner->entry.slots();
  const uint32_t limit = fullLimit(options, query, *runner);
  const bool last = query.refused + 1 >= random_candidates;
  const bool may_wait = last || query.busy || slots == 0;
  // Less urgent requests wait for a smaller part of the limit, as they use fewer of the slots.
  const double usable_ms = usableFraction(options.slot_limits, query.rank) * query.start_within_ms;
  return SlotOffer{.runner = runner,
                   .limit = may_wait ? limit : std::min(limit, slots),
                   .prompt_limits = last ? lastLimits(query) : query.prompt_limits,
                   .start_within_ms = query.engine ? 0 : static_cast<uint32_t>(usable_ms)};
}

} // namespace

PromptLimits promptLimits(const SlotLimitOptions& options, const RequestRank& rank,
                          uint64_t kv_capacity_tokens, const RequestDemand& demand) {
  PromptLimits limits;
  const double kv_fraction = (1 - kKvReserve) * usableFraction(options, rank);
  limits.kv_limit = static_cast<uint64_t>(kv_fraction * static_cast<double>(kv_capacity_tokens));
  if (demand.source == DemandSource::Unknown) {
    return limits;
  }
  limits.start_within_ms = static_cast<uint32_t>(kInTimeFraction * demand.objective_ms);
  return limits;
}

std::optional<SlotOffer> nextOffer(const PlacementOptions& options, const PlacementQuery& query) {
  if (query.candidates.empty()) {
    return std::nullopt;
  }
  if (!query.by_prompt) {
    return offerRandom(options, query);
  }
  return query.busy ? offerBusyHome(options, query) : offerHome(options, query);
}

} // namespace workshatch::relay

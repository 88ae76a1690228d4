/// @file
/// The choice of a runner: by what owners are asked for, or by sums of loads.
#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "core/relay/runner_table.h"
#include "core/routing/rendezvous.h"

namespace workshatch::relay {

namespace {

/// Runners that are ranked for a prompt where owners are asked: more than are ever asked for one.
constexpr size_t kMaxRankedForOwners = 16;
/// Fineness of the lots by which relays share a place.
constexpr uint64_t kDrawSteps = 1024;

bool isExcluded(const RunnerRequest& request, const Runner& runner) {
  return std::find(request.excluded.begin(), request.excluded.end(), runner.entry.id()) !=
         request.excluded.end();
}

} // namespace

RunnerTable::CandidateSet RunnerTable::candidatesFor(const RunnerRequest& request) const {
  CandidateSet candidate_set;
  Candidates& usable = candidate_set.runners;
  Candidates avoided;
  const auto service = services_.find(request.service);
  if (service == services_.end()) {
    return candidate_set;
  }
  const v1::Rollout* rollout = rollouts_.findRollout(request.service);
  usable.reserve(service->second.runners.size());
  for (const auto& runner : service->second.runners) {
    const bool open =
        !runner->isLeaving() && !runner->evacuated &&
        (rollout == nullptr || admitsVersion(*rollout, runner->entry.version(), request.trial));
    if (!open || !isHome(request.home_regions, *runner) || isExcluded(request, *runner)) {
      continue;
    }
    // Not even as the last resort: what a runner asks for is no guess of this relay.
    if (isBackingOff(*runner, request.now_ms)) {
      ++candidate_set.backing_off;
      continue;
    }
    // Only an owner keeps the pace of a cold runner.
    const bool unpaced = (request.ignores_limits || !request.uses_slot_owners) &&
                         coldMs(*runner, request.now_ms) != 0;
    const bool last = unpaced || runner->version_unconfirmed || isAvoided(*runner, request.now_ms);
    (last ? avoided : usable).push_back(runner);
  }
  if (request.trial) {
    keepTrialRunners(request, usable);
    return candidate_set;
  }
  candidate_set.last_resort = usable.empty() && !avoided.empty();
  if (candidate_set.last_resort) {
    usable = std::move(avoided);
  }
  return candidate_set;
}

/// A version on trial gets its share on as few of its runners as bear it, so that these are as
/// loaded as those of the former version: some faults show under load only.
void RunnerTable::keepTrialRunners(const RunnerRequest& request, Candidates& candidates) const {
  const Candidates& all = services_.at(request.service).runners;
  const v1::Rollout& rollout = *rollouts_.findRollout(request.service);
  const auto former = std::count_if(all.begin(), all.end(), [&](const auto& runner) {
    return runner->entry.version() != rollout.target_version();
  });
  const auto wanted =
      static_cast<size_t>(std::ceil(options_.trial_share * static_cast<double>(former)));
  std::sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
    return left->fingerprint < right->fingerprint;
  });
  candidates.resize(std::min(candidates.size(), std::max<size_t>(wanted, 1)));
}

double RunnerTable::meanLoad(const Candidates& candidates) {
  uint64_t total = 0;
  for (const auto& runner : candidates) {
    total += runner->load();
  }
  return static_cast<double>(total) / static_cast<double>(candidates.size());
}

/// The mean that the load cap follows: of the candidates and of the service's runners that are held
/// back by an evacuation, a rollout or themselves, which count in the operators' bound as well.
double RunnerTable::meanForCap(const RunnerRequest& request, const Candidates& candidates) const {
  uint64_t load = 0;
  size_t counted = candidates.size();
  for (const auto& runner : candidates) {
    load += runner->load();
  }
  const v1::Rollout* rollout = rollouts_.findRollout(request.service);
  for (const auto& runner : services_.at(request.service).runners) {
    const bool held_back =
        runner->evacuated || isBackingOff(*runner, request.now_ms) ||
        (rollout != nullptr && !admitsVersion(*rollout, runner->entry.version(), request.trial));
    load += held_back ? runner->load() : 0;
    counted += held_back ? 1 : 0;
  }
  return static_cast<double>(load) / static_cast<double>(counted);
}

/// All relays see the same sums: if each took all that was free, a runner would get it once from
/// each. So where more is asked between two sums than was free, a request takes a place with the
/// chance that lets all relays together take what was free; where a runner was too full, each relay
/// gives back its part of what was too much.
bool RunnerTable::isWithinShare(const RunnerRequest& request, const Runner& runner,
                                uint32_t limit) const {
  const uint32_t own = runner.in_progress_at_totals;
  const uint32_t load_at_totals = runner.others_in_progress + own;
  if (load_at_totals > limit) {
    return runner.in_progress < own * limit / load_at_totals;
  }
  if (runner.in_progress < own) {
    return true;
  }
  const double free = limit - load_at_totals;
  const double chance = free / std::max(expectedRequestsPerRunner(request.service), 1.0);
  const double draw_fraction = static_cast<double>(request.rank.draw % kDrawSteps) / kDrawSteps;
  return draw_fraction < chance;
}

/// Requests that all relays together have for a runner of the service between two sums, as far as
/// this relay's own requests tell.
double RunnerTable::expectedRequestsPerRunner(const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.runners.empty()) {
    return 0;
  }
  const uint32_t asked =
      std::max(found->second.requests_before_totals, found->second.requests_since_totals);
  return static_cast<double>(asked) * static_cast<double>(relays_) /
         static_cast<double>(found->second.runners.size());
}

/// While most places of the service are free, a home may have a few requests more than places: they
/// wait there for less time than it takes to read their prompts elsewhere.
uint32_t RunnerTable::loadLimitFor(const RunnerRequest& request, const Runner& runner,
                                   bool busy) const {
  const uint32_t places = runner.entry.slots();
  if (!busy && request.engine && places != 0) {
    return places + static_cast<uint32_t>(options_.leave_slack);
  }
  return slotLimit(options_.places, places, request.engine, request.rank);
}

bool RunnerTable::hasFreeSlot(const RunnerRequest& request, const Runner& runner, bool busy) const {
  if (request.ignores_limits || !options_.policy.place_limits) {
    return true;
  }
  const uint32_t limit = loadLimitFor(request, runner, busy);
  if (runner.load() >= limit || runner.full_until_ms > request.now_ms) {
    return false;
  }
  // A plain service's requests end many times between two sums: what was free then says little.
  const bool shared = options_.policy.shared_places && request.engine;
  return !shared || isWithinShare(request, runner, limit);
}

/// @return whether most of the places of these runners are taken.
bool RunnerTable::isBusy(const Candidates& candidates) const {
  uint64_t load = 0;
  uint64_t places = 0;
  for (const auto& runner : candidates) {
    load += runner->load();
    places += runner->entry.slots();
  }
  return static_cast<double>(load) > options_.busy_fraction * static_cast<double>(places);
}

std::variant<RunnerChoice, NoRunner> RunnerTable::choose(const RunnerRequest& request) {
  dropStaleLoadTotals(request.now_ms);
  CandidateSet candidate_set = candidatesFor(request);
  Candidates& candidates = candidate_set.runners;
  if (candidates.empty()) {
    return candidate_set.backing_off > 0 ? NoRunner::AllBackingOff : NoRunner::NoneLeft;
  }
  services_[request.service].requests_since_totals += request.already_counted ? 0 : 1;
  const bool by_prompt = request.cache_key != 0 && options_.policy.prompt_homes;
  const bool busy = isBusy(candidates);
  const bool by_owners = request.uses_slot_owners && !request.ignores_limits;
  if (by_prompt) {
    const size_t ranked = by_owners ? kMaxRankedForOwners : candidates.size();
    candidates = routing::rankTop(request.cache_key, std::move(candidates), ranked,
                                  [](const std::shared_ptr<Runner>& runner) -> const std::string& {
                                    return runner->entry.id();
                                  });
  }
  std::optional<RunnerChoice> choice =
      by_owners ? chooseOffer(request, candidates, by_prompt, busy)
                : chooseByLoadTotals(request, std::move(candidates), by_prompt, busy);
  if (!choice) {
    return NoRunner::AllFull;
  }
  choice->last_resort = candidate_set.last_resort;
  return *std::move(choice);
}

int64_t RunnerTable::backoffLeftMs(const std::string& service, int64_t now_ms) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return 0;
  }
  int64_t least_ms = 0;
  for (const auto& runner : found->second.runners) {
    const int64_t left_ms = runner->backoff.time.remainingMs(now_ms);
    const bool sooner = left_ms > 0 && (least_ms == 0 || left_ms < least_ms);
    least_ms = sooner ? left_ms : least_ms;
  }
  return least_ms;
}

/// Without sums the mean is not known: there is no cap then.
std::optional<uint32_t> RunnerTable::ownerLoadCap(const RunnerRequest& request,
                                                  const Candidates& candidates) const {
  if (totals_received_ms_ == 0) {
    return std::nullopt;
  }
  return static_cast<uint32_t>(options_.cap_factor * meanForCap(request, candidates) +
                               options_.owner_cap_slack);
}

/// The next runner whose owner is asked for a place.
std::optional<RunnerChoice> RunnerTable::chooseOffer(const RunnerRequest& request,
                                                     const Candidates& candidates, bool by_prompt,
                                                     bool busy) const {
  const auto isFull = [&](const auto& runner) { return runner->full_until_ms > request.now_ms; };
  Candidates open;
  const bool some_full = std::any_of(candidates.begin(), candidates.end(), isFull);
  if (some_full) {
    std::remove_copy_if(candidates.begin(), candidates.end(), std::back_inserter(open), isFull);
  }
  const auto offer =
      nextOffer(options_.placement, PlacementQuery{.candidates = some_full ? open : candidates,
                                                   .refused = request.refused_slots,
                                                   .by_prompt = by_prompt,
                                                   .engine = request.engine,
                                                   .busy = busy,
                                                   .rank = request.rank,
                                                   .now_ms = request.now_ms,
                                                   .cap_load = ownerLoadCap(request, candidates)});
  if (!offer) {
    return std::nullopt;
  }
  return RunnerChoice{
      .runner = offer->runner, .passed_over = offer->passed_over, .limit = offer->limit};
}

std::optional<RunnerChoice> RunnerTable::chooseByLoadTotals(const RunnerRequest& request,
                                                            Candidates candidates, bool by_prompt,
                                                            bool busy) const {
  if (by_prompt && busy && options_.policy.few_homes && !request.ignores_limits) {
    // To read a long part anew on yet another runner takes more of it than the request itself.
    candidates.resize(std::min(candidates.size(), options_.busy_homes));
  }
  std::erase_if(candidates,
                [&](const auto& runner) { return !hasFreeSlot(request, *runner, busy); });
  if (candidates.empty()) {
    return std::nullopt;
  }
  return by_prompt ? chooseByCache(request, candidates) : chooseByLoad(request, candidates);
}

RunnerChoice RunnerTable::chooseByCache(const RunnerRequest& request,
                                        const Candidates& ranked) const {
  const double mean = meanLoad(ranked);
  const double cap = options_.cap_factor * meanForCap(request, ranked) + options_.cap_slack;
  const double leave = std::min(options_.leave_factor * mean + options_.leave_slack, cap);
  RunnerChoice choice;
  // The further a runner ranks, the less likely it has the part: the first with room, not the least
  // loaded, so that a part in demand comes to as few runners as it needs.
  for (const auto& runner : ranked) {
    if (runner->load() + 1 <= leave) {
      choice.runner = runner;
      return choice;
    }
    ++choice.passed_over;
  }
  RunnerChoice spread = chooseByLoad(request, ranked);
  spread.passed_over = choice.passed_over;
  return spread;
}

std::shared_ptr<Runner> RunnerTable::likelyPrefixSource(const RunnerRequest& request,
                                                        const Runner& chosen) const {
  if (request.cache_key == 0 || !options_.policy.fetch_cached_parts) {
    return nullptr;
  }
  return prefix_sources_.sourceFor(SourceQuery{.prefix = request.cache_key,
                                               .parent = request.parent_key,
                                               .chosen = &chosen,
                                               .runners = &services_.at(request.service).runners,
                                               .avoided =
                                                   [&](const Runner& runner) {
                                                     return isAvoided(runner, request.now_ms) ||
                                                            !isHome(request.home_regions, runner);
                                                   },
                                               .now_ms = request.now_ms});
}

RunnerChoice RunnerTable::chooseByLoad(const RunnerRequest& request,
                                       const Candidates& candidates) const {
  const auto costOf = [&](const Runner& runner) {
    // A runner of another zone must be less loaded by one request to be worth the way.
    const bool near = runner.entry.zone() == request.zone || !options_.policy.own_zone_first;
    const uint32_t distance = near ? 0 : 1;
    return runner.load() + distance;
  };
  const auto best = std::min_element(
      candidates.begin(), candidates.end(), [&](const auto& left, const auto& right) {
        const uint64_t left_draw = left->fingerprint ^ request.rank.draw;
        const uint64_t right_draw = right->fingerprint ^ request.rank.draw;
        return std::pair(costOf(*left), left_draw) < std::pair(costOf(*right), right_draw);
      });
  return RunnerChoice{.runner = *best};
}

} // namespace workshatch::relay

/// @file
/// Implements the choice of a runner in RunnerTable: by slot owners, or by load totals.
#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "core/relay/runner_table.h"
#include "core/routing/rendezvous.h"
#include "core/scheduling/service_reports.h"

namespace workshatch::relay {

namespace {

/// Number of runners ranked for a prompt when slot owners are used: more than are ever tried for
/// one prompt.
constexpr size_t kMaxRankedForOwners = 16;
/// Resolution of the random draw by which relays share the free slots of a runner.
constexpr uint64_t kDrawSteps = 1024;

bool contains(const std::vector<std::string>& texts, const std::string& text) {
  return std::find(texts.begin(), texts.end(), text) != texts.end();
}

bool isExcluded(const RunnerRequest& request, const Runner& runner) {
  return contains(request.excluded, runner.entry.id()) ||
         contains(request.excluded_addresses, runner.entry.address());
}

bool isUnsuitable(const RunnerRequest& request, const Runner& runner) {
  return std::find(request.unsuitable.begin(), request.unsuitable.end(), runner.fingerprint) !=
         request.unsuitable.end();
}

/// Time for which the list may still name the version of a process that has ended.
constexpr int64_t kListAgeMs = 10'000;

/// @return whether the runner has the version that the request needs, as far as is known.
bool hasVersionFor(const RunnerRequest& request, const Runner& runner) {
  if (request.begins_resumable_stream && runner.begins_no_streams) {
    return false;
  }
  if (!request.version) {
    return true;
  }
  const bool replaced =
      runner.process_ended_ms != 0 && request.now_ms - runner.process_ended_ms < kListAgeMs;
  return runner.entry.version() == *request.version && !replaced;
}

} // namespace

/// @return whether the request may go to the runner by the orders of operators, the request's
/// regions and its version.
/// @param rollout of the request's service; null: there is none
bool RunnerTable::mayServe(const RunnerRequest& request, const Runner& runner,
                           const v1::Rollout* rollout) const {
  return !runner.isLeaving() && !runner.evacuated && hasVersionFor(request, runner) &&
         admitsRequest(rollout, runner.entry.version(), request.trial,
                       request.version.has_value()) &&
         isHome(request.home_regions, runner);
}

RunnerTable::CandidateSet RunnerTable::candidatesFor(const RunnerRequest& request) const {
  CandidateSet candidate_set;
  Candidates& usable = candidate_set.runners;
  Candidates avoided;
  Candidates reported;
  const auto service = services_.find(request.service);
  if (service == services_.end()) {
    return candidate_set;
  }
  const v1::Rollout* rollout = rollouts_.findRollout(request.service);
  usable.reserve(service->second.runners.size());
  // A version on trial is not avoided because of its failures, which are what the trial is to show.
  const auto failing = request.trial ? std::vector<const Runner*>()
                                     : findFailingRunners(service->second.runners, request.now_ms);
  for (const auto& runner : service->second.runners) {
    if (!mayServe(request, *runner, rollout) || isExcluded(request, *runner)) {
      continue;
    }
    // A runner that requested a backoff is not even a last resort: its request is explicit, unlike
    // this relay's own estimates.
    if (isBackingOff(*runner, request.now_ms)) {
      ++candidate_set.backing_off;
      continue;
    }
    // Only a slot owner limits the rate of requests to a cold runner.
    const bool unpaced = (request.ignores_limits || !request.uses_slot_owners) &&
                         coldMs(*runner, request.now_ms) != 0;
    const bool fails = std::find(failing.begin(), failing.end(), runner.get()) != failing.end();
    const bool last =
        unpaced || fails || runner->version_unconfirmed || isAvoidedByOwn(*runner, request.now_ms);
    if (last) {
      avoided.push_back(runner);
    } else if (runner->suspected_until_ms > request.now_ms) {
      reported.push_back(runner);
    } else {
      usable.push_back(runner);
    }
  }
  // Reports about most runners have a common cause, and avoiding these runners would put their load
  // on the few others.
  const size_t all = usable.size() + avoided.size() + reported.size();
  const bool too_few_left =
      static_cast<double>(usable.size()) < options_.min_unreported_share * static_cast<double>(all);
  Candidates& joined = too_few_left ? usable : avoided;
  joined.insert(joined.end(), reported.begin(), reported.end());
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

/// Limits a version on trial to as few of its runners as its share of the requests needs. These are
/// then as loaded as the runners of the former version, because some faults only show under load.
void RunnerTable::keepTrialRunners(const RunnerRequest& request, Candidates& candidates) const {
  const Candidates& all = services_.at(request.service).runners;
  const v1::Rollout& rollout = *rollouts_.findRollout(request.service);
  const auto former = std::count_if(all.begin(), all.end(), [&](const auto& runner) {
    return runner->entry.version() != rollout.target_version();
  });
  const auto needed =
      static_cast<size_t>(std::ceil(options_.trial_share * static_cast<double>(former)));
  std::sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
    return left->fingerprint < right->fingerprint;
  });
  candidates.resize(std::min(candidates.size(), std::max<size_t>(needed, 1)));
}

double RunnerTable::meanLoad(const Candidates& candidates) {
  uint64_t total = 0;
  for (const auto& runner : candidates) {
    total += runner->load();
  }
  return static_cast<double>(total) / static_cast<double>(candidates.size());
}

/// Mean load for the load cap. It covers the candidates and those runners of the service that get
/// no requests because of an evacuation, a rollout, their version or their own backoff, because the
/// operators' bound counts these as well.
double RunnerTable::meanForCap(const RunnerRequest& request, const Candidates& candidates) const {
  uint64_t load = 0;
  size_t counted = candidates.size();
  for (const auto& runner : candidates) {
    load += runner->load();
  }
  const v1::Rollout* rollout = rollouts_.findRollout(request.service);
  for (const auto& runner : services_.at(request.service).runners) {
    const bool gets_no_requests = runner->evacuated || isBackingOff(*runner, request.now_ms) ||
                                  !hasVersionFor(request, *runner) ||
                                  !admitsRequest(rollout, runner->entry.version(), request.trial,
                                                 request.version.has_value());
    load += gets_no_requests ? runner->load() : 0;
    counted += gets_no_requests ? 1 : 0;
  }
  return static_cast<double>(load) / static_cast<double>(counted);
}

/// Decides whether this relay may use a free slot of the runner until the next load totals arrive.
///
/// All relays receive the same totals. If each relay filled all free slots, the runner would get
/// that many requests from each of them. If more requests are expected between two totals than
/// slots were free, a request is therefore admitted with the probability at which all relays
/// together fill the free slots. If the runner was overloaded, each relay sheds its share of the
/// excess.
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

/// Estimates how many requests all relays together send to a runner of the service between two load
/// totals, by this relay's own requests.
double RunnerTable::expectedRequestsPerRunner(const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.runners.empty()) {
    return 0;
  }
  const uint32_t requests =
      std::max(found->second.requests_before_totals, found->second.requests_since_totals);
  return static_cast<double>(requests) * static_cast<double>(relays_) /
         static_cast<double>(found->second.runners.size());
}

/// Highest load up to which the request may be sent to the runner. While most slots of the service
/// are free, a home may get a few requests more than it has slots: queueing there takes less time
/// than reading the prompt on another runner.
uint32_t RunnerTable::loadLimitFor(const RunnerRequest& request, const Runner& runner,
                                   bool busy) const {
  const uint32_t slots = runner.entry.slots();
  if (slots != 0 && maxDeclines(request.service, request.now_ms)) {
    return std::min(slots, slotLimit(options_.slot_limits, slots, request.engine, request.rank));
  }
  if (!busy && request.engine && slots != 0) {
    return slots + static_cast<uint32_t>(options_.spill_slack);
  }
  return slotLimit(options_.slot_limits, slots, request.engine, request.rank);
}

bool RunnerTable::hasFreeSlot(const RunnerRequest& request, const Runner& runner, bool busy) const {
  if (request.ignores_limits || !options_.policy.place_limits) {
    return true;
  }
  const uint32_t limit = loadLimitFor(request, runner, busy);
  if (runner.load() >= limit || runner.full_until_ms > request.now_ms) {
    return false;
  }
  // Requests of a plain service are shorter than the interval between two load totals, so the
  // number of slots that were free then says little.
  const bool shared = options_.policy.shared_places && request.engine;
  return !shared || isWithinShare(request, runner, limit);
}

/// @return whether the load of these runners is over `busy_fraction` of their slots.
bool RunnerTable::isBusy(const Candidates& candidates) const {
  uint64_t load = 0;
  uint64_t slots = 0;
  for (const auto& runner : candidates) {
    load += runner->load();
    slots += runner->entry.slots();
  }
  return static_cast<double>(load) > options_.busy_fraction * static_cast<double>(slots);
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
  int64_t earliest_ms = 0;
  for (const auto& runner : found->second.runners) {
    const int64_t left_ms = runner->backoff.time.remainingMs(now_ms);
    const bool sooner = left_ms > 0 && (earliest_ms == 0 || left_ms < earliest_ms);
    earliest_ms = sooner ? left_ms : earliest_ms;
  }
  return earliest_ms;
}

/// Load cap where slot owners count the load. Without load totals the mean is not known, and there
/// is no cap.
std::optional<uint32_t> RunnerTable::ownerLoadCap(const RunnerRequest& request,
                                                  const Candidates& candidates) const {
  if (totals_received_ms_ == 0) {
    return std::nullopt;
  }
  return static_cast<uint32_t>(options_.cap_factor * meanForCap(request, candidates) +
                               options_.owner_cap_slack);
}

PromptLimits RunnerTable::promptLimitsOf(const RunnerRequest& request) const {
  if (!request.engine || !options_.policy.engine_load) {
    return PromptLimits{};
  }
  return promptLimits(options_.slot_limits, request.rank, request.kv_capacity_tokens,
                      request.demand);
}

/// Chooses the next runner whose slot owner is to be asked for a slot.
std::optional<RunnerChoice> RunnerTable::chooseOffer(const RunnerRequest& request,
                                                     const Candidates& candidates, bool by_prompt,
                                                     bool busy) const {
  const auto isFull = [&](const auto& runner) {
    return runner->full_until_ms > request.now_ms || isUnsuitable(request, *runner);
  };
  Candidates not_full;
  const bool some_full = std::any_of(candidates.begin(), candidates.end(), isFull);
  if (some_full) {
    std::remove_copy_if(candidates.begin(), candidates.end(), std::back_inserter(not_full), isFull);
  }
  const auto offer =
      nextOffer(options_.placement, PlacementQuery{.candidates = some_full ? not_full : candidates,
                                                   .refused = request.refused_slots,
                                                   .unsuitable = request.unsuitable.size(),
                                                   .by_prompt = by_prompt,
                                                   .engine = request.engine,
                                                   .busy = busy,
                                                   .rank = request.rank,
                                                   .start_within_ms = request.start_within_ms,
                                                   .now_ms = request.now_ms,
                                                   .cap_load = ownerLoadCap(request, candidates),
                                                   .prompt_limits = promptLimitsOf(request)});
  if (!offer) {
    return std::nullopt;
  }
  RunnerChoice choice{.runner = offer->runner,
                      .passed_over = offer->passed_over,
                      .limit = offer->limit,
                      .prompt_limits = offer->prompt_limits,
                      .start_within_ms = offer->start_within_ms};
  limitToSlots(request, choice);
  return choice;
}

/// Lets no request wait in the queue of a brittle runner: the queue may be shorter than before, and
/// declining requests ends the runner's process.
void RunnerTable::limitToSlots(const RunnerRequest& request, RunnerChoice& choice) const {
  const uint32_t slots = choice.runner->entry.slots();
  if (slots == 0 || !maxDeclines(request.service, request.now_ms)) {
    return;
  }
  choice.limit = std::min(choice.limit, slots);
  choice.start_within_ms = 0;
}

std::optional<RunnerChoice> RunnerTable::chooseByLoadTotals(const RunnerRequest& request,
                                                            Candidates candidates, bool by_prompt,
                                                            bool busy) const {
  if (by_prompt && busy && options_.policy.few_homes && !request.ignores_limits) {
    // Few homes are used, because reading a long prefix again on another runner costs that runner
    // more time than the request itself.
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
  const double spill_load = std::min(options_.spill_factor * mean + options_.spill_slack, cap);
  RunnerChoice choice;
  // The lower a runner ranks, the less likely it has the prefix cached. Taking the first runner
  // with free capacity, and not the least loaded one, keeps a popular prefix on as few runners as
  // possible.
  for (const auto& runner : ranked) {
    if (runner->load() + 1 <= spill_load) {
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
                                                            !isHome(request.home_regions, runner) ||
                                                            runner.entry.version() !=
                                                                chosen.entry.version();
                                                   },
                                               .now_ms = request.now_ms});
}

RunnerChoice RunnerTable::chooseByLoad(const RunnerRequest& request,
                                       const Candidates& candidates) const {
  const auto costOf = [&](const Runner& runner) {
    // A runner of another zone must have at least one request less to be worth the longer network
    // path.
    const bool near = runner.entry.zone() == request.zone || !options_.policy.own_zone_first;
    const uint32_t zone_penalty = near ? 0 : 1;
    return runner.load() + zone_penalty;
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

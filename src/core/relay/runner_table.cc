#include "core/relay/runner_table.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <utility>

#include "core/relay/runner_loads.h"
#include "core/routing/rendezvous.h"

namespace workshatch::relay {

namespace {

/// Weight of the newest attempt in the failure rate.
constexpr double kNewestWeight = 0.15;
/// A runner is suspect when its failure rate is over twice its service's mean plus this.
constexpr uint32_t kFailuresToAvoid = 3;
constexpr int64_t kAvoidUnreachableMs = 500;
constexpr int64_t kMostAvoidMs = 4000;
constexpr int64_t kAvoidFailingMs = 1000;
/// A full runner is left alone for a moment; for a shorter one where few requests are known to be
/// there, since it may decline for a reason that has passed already.
constexpr int64_t kFullMs = 100;
constexpr int64_t kFullThoughIdleMs = 20;
constexpr int64_t kAvoidMisdirectedMs = 5000;
/// Fineness of the lots by which relays share a place.
constexpr uint64_t kLots = 1024;

int64_t growingHold(int64_t first_ms, uint32_t failures) {
  constexpr uint32_t kMostDoublings = 5;
  const uint32_t doublings = std::min(failures == 0 ? 0 : failures - 1, kMostDoublings);
  return std::min(first_ms << doublings, kMostAvoidMs);
}

bool isExcluded(const RunnerRequest& request, const Runner& runner) {
  return std::find(request.excluded.begin(), request.excluded.end(), runner.entry.id()) !=
         request.excluded.end();
}

} // namespace

void RunnerTable::setList(const v1::RunnerList& list, int64_t now_ms) {
  const bool first = runners_.empty();
  std::unordered_map<std::string, std::shared_ptr<Runner>> known;
  for (auto& runner : runners_) {
    runner->gone = true;
    known.emplace(runner->entry.id(), runner);
  }
  runners_.clear();
  for (auto& [service, state] : services_) {
    state.runners.clear();
  }
  list_version_ = list.version();
  for (const v1::RunnerEntry& entry : list.runners()) {
    auto& runner = known[entry.id()];
    if (!runner) {
      runner = std::make_shared<Runner>();
      runner->fingerprint = routing::fingerprintOf(entry.id());
      runner->listed_since_ms = first ? 0 : now_ms;
    }
    runner->entry = entry;
    runner->gone = false;
    runners_.push_back(runner);
    services_[entry.service()].runners.push_back(runner);
  }
}

v1::RunnerList RunnerTable::list() const {
  v1::RunnerList list;
  list.set_version(list_version_);
  for (const auto& runner : runners_) {
    *list.add_runners() = runner->entry;
  }
  return list;
}

void RunnerTable::setSums(const v1::RunnerLoads& sums, const v1::RunnerLoads& reported,
                          int64_t now_ms) {
  const auto totals =
      sums.list_version() == list_version_ ? countsOf(sums, runners_.size()) : std::nullopt;
  if (!totals) {
    return;
  }
  sums_at_ms_ = now_ms;
  const auto owns =
      reported.list_version() == list_version_ ? countsOf(reported, runners_.size()) : std::nullopt;
  for (size_t i = 0; i < runners_.size(); ++i) {
    const uint32_t total = (*totals)[i];
    const uint32_t own = owns ? (*owns)[i] : 0;
    const bool others = options_.policy.shared_loads && total > own;
    runners_[i]->others_in_progress = others ? total - own : 0;
    runners_[i]->in_progress_at_sums = runners_[i]->in_progress;
  }
  for (auto& [service, state] : services_) {
    state.asked_before_sums = std::exchange(state.asked_since_sums, 0);
  }
  for (const uint32_t position : sums.suspects()) {
    if (position < runners_.size() && options_.policy.shared_suspicions) {
      runners_[position]->suspected_until_ms = now_ms + options_.suspicion_ms;
    }
  }
}

void RunnerTable::forgetStaleSums(int64_t now_ms) {
  if (sums_at_ms_ == 0 || now_ms - sums_at_ms_ < options_.sums_valid_ms) {
    return;
  }
  sums_at_ms_ = 0;
  for (const auto& runner : runners_) {
    runner->others_in_progress = 0;
  }
}

v1::RunnerLoads RunnerTable::ownLoads(int64_t now_ms) const {
  v1::RunnerLoads loads;
  loads.set_list_version(list_version_);
  std::vector<uint32_t> counts;
  counts.reserve(runners_.size());
  for (size_t i = 0; i < runners_.size(); ++i) {
    const Runner& runner = *runners_[i];
    counts.push_back(runner.in_progress);
    const bool failing = runner.failures_in_row > 0 && runner.avoid_until_ms > now_ms;
    if (failing || isSilent(runner, now_ms)) {
      loads.add_suspects(static_cast<uint32_t>(i));
    }
  }
  setCounts(loads, counts);
  return loads;
}

bool RunnerTable::isSilent(const Runner& runner, int64_t now_ms) const {
  const int64_t limit = runner.engine ? options_.silent_engine_ms : options_.silent_service_ms;
  return options_.policy.silence_limits && runner.in_progress > 0 &&
         now_ms - runner.sign_of_life_ms > limit;
}

bool RunnerTable::isAvoided(const Runner& runner, int64_t now_ms) const {
  return runner.avoid_until_ms > now_ms || runner.suspected_until_ms > now_ms ||
         isSilent(runner, now_ms);
}

void RunnerTable::noteLoad(Runner& runner, uint32_t load) const {
  if (options_.policy.shared_loads) {
    runner.others_in_progress = load > runner.in_progress ? load - runner.in_progress : 0;
  }
}

void RunnerTable::beginAttempt(Runner& runner, int64_t now_ms) const {
  if (runner.in_progress++ == 0) {
    runner.sign_of_life_ms = now_ms;
  }
}

RunnerTable::Candidates RunnerTable::candidatesFor(const RunnerRequest& request,
                                                   bool* last_resort) const {
  Candidates usable;
  Candidates avoided;
  const auto service = services_.find(request.service);
  if (service == services_.end()) {
    return usable;
  }
  for (const auto& runner : service->second.runners) {
    if (runner->entry.leaving() || isExcluded(request, *runner)) {
      continue;
    }
    (isAvoided(*runner, request.now_ms) ? avoided : usable).push_back(runner);
  }
  *last_resort = usable.empty() && !avoided.empty();
  return *last_resort ? avoided : usable;
}

double RunnerTable::meanLoad(const Candidates& candidates) const {
  uint64_t total = 0;
  for (const auto& runner : candidates) {
    total += runner->load();
  }
  return static_cast<double>(total) / static_cast<double>(candidates.size());
}

/// All relays see the same sums: if each took all that was free, a runner would get it once from
/// each. So where more is asked between two sums than was free, a request takes a place with the
/// chance that lets all relays together take what was free; where a runner was too full, each relay
/// gives back its part of what was too much.
bool RunnerTable::takesShare(const RunnerRequest& request, const Runner& runner,
                             uint32_t limit) const {
  const uint32_t own = runner.in_progress_at_sums;
  const uint32_t load_at_sums = runner.others_in_progress + own;
  if (load_at_sums > limit) {
    return runner.in_progress < own * limit / load_at_sums;
  }
  if (runner.in_progress < own) {
    return true;
  }
  const double free = limit - load_at_sums;
  const double chance = free / std::max(expectedAt(request.service), 1.0);
  const double lot = static_cast<double>(request.standing.draw % kLots) / kLots;
  return lot < chance;
}

/// Requests that all relays together have for a runner of the service between two sums, as far as
/// this relay's own requests tell.
double RunnerTable::expectedAt(const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.runners.empty()) {
    return 0;
  }
  const uint32_t asked = std::max(found->second.asked_before_sums, found->second.asked_since_sums);
  return static_cast<double>(asked) * static_cast<double>(relays_) /
         static_cast<double>(found->second.runners.size());
}

/// While most places of the service are free, a home may have a few requests more than places: they
/// wait there for less time than it takes to read their prompts elsewhere.
uint32_t RunnerTable::limitOf(const RunnerRequest& request, const Runner& runner, bool busy) const {
  const uint32_t places = runner.entry.slots();
  if (!busy && request.engine && places != 0) {
    return places + static_cast<uint32_t>(options_.leave_slack);
  }
  return placeLimit(options_.places, places, request.engine, request.standing);
}

bool RunnerTable::hasPlace(const RunnerRequest& request, const Runner& runner, bool busy) const {
  if (request.past_limits || !options_.policy.place_limits) {
    return true;
  }
  const uint32_t limit = limitOf(request, runner, busy);
  if (runner.load() >= limit || runner.full_until_ms > request.now_ms) {
    return false;
  }
  // A plain service's requests end many times between two sums: what was free then says little.
  const bool shared = options_.policy.shared_places && request.engine;
  return !shared || takesShare(request, runner, limit);
}

/// @return whether most of the places of these runners are taken.
bool RunnerTable::isBusy(const Candidates& candidates) const {
  uint64_t load = 0;
  uint64_t places = 0;
  for (const auto& runner : candidates) {
    load += runner->load();
    places += runner->entry.slots();
  }
  return static_cast<double>(load) > options_.busy_part * static_cast<double>(places);
}

std::variant<RunnerChoice, NoRunner> RunnerTable::choose(const RunnerRequest& request) {
  forgetStaleSums(request.now_ms);
  bool last_resort = false;
  Candidates candidates = candidatesFor(request, &last_resort);
  if (candidates.empty()) {
    return NoRunner::NoneLeft;
  }
  services_[request.service].asked_since_sums += request.asks_again ? 0 : 1;
  const bool by_prompt = request.cache_key != 0 && options_.policy.prompt_homes;
  const bool busy = isBusy(candidates);
  if (by_prompt) {
    candidates = routing::rank(request.cache_key, std::move(candidates),
                               [](const std::shared_ptr<Runner>& runner) -> const std::string& {
                                 return runner->entry.id();
                               });
  }
  std::optional<RunnerChoice> choice =
      request.asks_owners && !request.past_limits
          ? chooseOffer(request, candidates, by_prompt, busy)
          : chooseBySums(request, std::move(candidates), by_prompt, busy);
  if (!choice) {
    return NoRunner::AllFull;
  }
  choice->last_resort = last_resort;
  if (request.cache_key != 0 && options_.policy.fetch_cached_parts) {
    choice->part_source = sourceOfParts(request, *choice->runner);
  }
  return *std::move(choice);
}

void RunnerTable::noteSent(const RunnerRequest& request, const RunnerChoice& choice) {
  if (request.cache_key == 0) {
    return;
  }
  choice.runner->engine = true;
  part_sources_.noteSent(request.cache_key, request.parent_key, choice.runner, request.now_ms);
}

uint32_t RunnerTable::loadOf(uint64_t fingerprint) const {
  const auto found =
      std::find_if(runners_.begin(), runners_.end(), [fingerprint](const auto& runner) {
        return runner->fingerprint == fingerprint;
      });
  return found == runners_.end() ? 0 : (*found)->load();
}

/// Without sums the mean is not known: there is no cap then.
std::optional<uint32_t> RunnerTable::ownersCap(const Candidates& candidates) const {
  if (sums_at_ms_ == 0) {
    return std::nullopt;
  }
  return static_cast<uint32_t>(options_.cap_factor * meanLoad(candidates) +
                               options_.owners_cap_slack);
}

/// The next runner whose owner is asked for a place.
std::optional<RunnerChoice> RunnerTable::chooseOffer(const RunnerRequest& request,
                                                     const Candidates& candidates, bool by_prompt,
                                                     bool busy) const {
  Candidates open;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(open),
               [&](const auto& runner) { return runner->full_until_ms <= request.now_ms; });
  const auto offer =
      nextOffer(options_.placement, PlacementQuestion{.candidates = open,
                                                      .refused = request.refused_places,
                                                      .by_prompt = by_prompt,
                                                      .engine = request.engine,
                                                      .busy = busy,
                                                      .standing = request.standing,
                                                      .cap_load = ownersCap(candidates)});
  if (!offer) {
    return std::nullopt;
  }
  return RunnerChoice{
      .runner = offer->runner, .passed_over = offer->passed_over, .limit = offer->limit};
}

std::optional<RunnerChoice> RunnerTable::chooseBySums(const RunnerRequest& request,
                                                      Candidates candidates, bool by_prompt,
                                                      bool busy) const {
  if (by_prompt && busy && options_.policy.few_homes && !request.past_limits) {
    // To read a long part anew on yet another runner takes more of it than the request itself.
    candidates.resize(std::min(candidates.size(), options_.busy_homes));
  }
  std::erase_if(candidates, [&](const auto& runner) { return !hasPlace(request, *runner, busy); });
  if (candidates.empty()) {
    return std::nullopt;
  }
  return by_prompt ? chooseByCache(request, candidates) : chooseByLoad(request, candidates);
}

RunnerChoice RunnerTable::chooseByCache(const RunnerRequest& request,
                                        const Candidates& ranked) const {
  const double mean = meanLoad(ranked);
  const double cap = options_.cap_factor * mean + options_.cap_slack;
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

std::shared_ptr<Runner> RunnerTable::sourceOfParts(const RunnerRequest& request,
                                                   const Runner& chosen) const {
  return part_sources_.sourceFor(SourceQuestion{
      .part = request.cache_key,
      .parent = request.parent_key,
      .chosen = &chosen,
      .runners = &services_.at(request.service).runners,
      .avoided = [&](const Runner& runner) { return isAvoided(runner, request.now_ms); },
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
        const uint64_t left_draw = left->fingerprint ^ request.standing.draw;
        const uint64_t right_draw = right->fingerprint ^ request.standing.draw;
        return std::pair(costOf(*left), left_draw) < std::pair(costOf(*right), right_draw);
      });
  return RunnerChoice{.runner = *best};
}

void RunnerTable::endAttempt(Runner& runner, AttemptOutcome outcome, int64_t now_ms) const {
  if (runner.in_progress > 0) {
    --runner.in_progress;
  }
  if (!options_.policy.hold_downs) {
    return;
  }
  switch (outcome) {
  case AttemptOutcome::Succeeded:
    runner.failure_rate *= 1 - kNewestWeight;
    runner.failures_in_row = 0;
    break;
  case AttemptOutcome::Refused:
    runner.full_until_ms =
        now_ms + (2 * runner.load() < runner.entry.slots() ? kFullThoughIdleMs : kFullMs);
    break;
  case AttemptOutcome::Misdirected:
    runner.avoid_until_ms = now_ms + kAvoidMisdirectedMs;
    break;
  case AttemptOutcome::Unreachable:
    ++runner.failures_in_row;
    runner.avoid_until_ms = now_ms + growingHold(kAvoidUnreachableMs, runner.failures_in_row);
    break;
  case AttemptOutcome::Failed:
    runner.failure_rate = runner.failure_rate * (1 - kNewestWeight) + kNewestWeight;
    ++runner.failures_in_row;
    if (runner.failures_in_row >= kFailuresToAvoid) {
      runner.avoid_until_ms =
          now_ms + growingHold(kAvoidFailingMs, runner.failures_in_row - kFailuresToAvoid + 1);
    }
    break;
  case AttemptOutcome::Abandoned:
    break;
  }
}

} // namespace workshatch::relay

#include "core/relay/placement.h"

#include <algorithm>

namespace workshatch::relay {

namespace {

using Candidates = std::vector<std::shared_ptr<Runner>>;

bool isRefused(const PlacementQuestion& question, const Runner& runner) {
  const auto& refused = question.refused;
  return std::find(refused.begin(), refused.end(), runner.entry.id()) != refused.end();
}

/// Finalizer of MurmurHash3: nearby numbers give unrelated ones.
uint64_t mixed(uint64_t number) {
  number = (number ^ (number >> 33U)) * 0xff51afd7ed558ccdU;
  number = (number ^ (number >> 33U)) * 0xc4ceb9fe1a85ec53U;
  return number ^ (number >> 33U);
}

uint32_t homeLimit(const PlacementOptions& options, const PlacementQuestion& question,
                   const Runner& runner) {
  const uint32_t places = runner.entry.slots();
  if (question.busy) {
    const uint32_t limit = placeLimit(options.places, places, question.engine, question.standing);
    return std::min(limit, question.cap_load);
  }
  const uint32_t limit = std::min(question.leave_load, question.cap_load);
  return places == 0 ? limit : std::min(limit, places + options.home_slack);
}

uint32_t drawLimit(const PlacementOptions& options, const PlacementQuestion& question,
                   const Runner& runner, size_t draw) {
  const uint32_t limit =
      placeLimit(options.places, runner.entry.slots(), question.engine, question.standing);
  if (draw + 1 >= options.draws) {
    // Better over the cap than to turn a request away while places are free.
    return limit;
  }
  const bool no_queue = !question.busy && draw < options.draws_without_queue;
  const uint32_t places = runner.entry.slots();
  const uint32_t wanted = no_queue && places != 0 ? std::min(limit, places) : limit;
  return std::min(wanted, question.cap_load);
}

/// The less used of two runners drawn by lot.
std::shared_ptr<Runner> drawOne(const Candidates& candidates, uint64_t lot) {
  const auto& first = candidates[mixed(lot) % candidates.size()];
  const auto& second = candidates[mixed(lot + 1) % candidates.size()];
  return second->load() < first->load() ? second : first;
}

std::optional<PlaceOffer> offerByLot(const PlacementOptions& options,
                                     const PlacementQuestion& question, size_t homes) {
  const size_t refused_homes = std::min(homes, question.refused.size());
  const size_t draw = question.refused.size() - refused_homes;
  Candidates rest;
  for (size_t i = homes; i < question.candidates.size(); ++i) {
    if (!isRefused(question, *question.candidates[i])) {
      rest.push_back(question.candidates[i]);
    }
  }
  if (draw >= options.draws || rest.empty()) {
    return std::nullopt;
  }
  constexpr uint64_t kLotsOfADraw = 2;
  const auto runner = drawOne(rest, question.standing.draw + kLotsOfADraw * draw);
  // With nobody left to ask after this one, its limit is the last one's.
  const size_t rank = rest.size() == 1 ? options.draws - 1 : draw;
  return PlaceOffer{.runner = runner,
                    .limit = drawLimit(options, question, *runner, rank),
                    .passed_over = static_cast<uint32_t>(homes)};
}

} // namespace

std::optional<PlaceOffer> nextOffer(const PlacementOptions& options,
                                    const PlacementQuestion& question) {
  const size_t wanted = question.busy ? options.busy_homes : options.homes;
  const size_t homes = question.by_prompt ? std::min(wanted, question.candidates.size()) : 0;
  for (size_t i = 0; i < homes; ++i) {
    const auto& home = question.candidates[i];
    if (!isRefused(question, *home)) {
      return PlaceOffer{.runner = home,
                        .limit = homeLimit(options, question, *home),
                        .passed_over = static_cast<uint32_t>(i)};
    }
  }
  if (question.by_prompt && question.busy) {
    return std::nullopt;
  }
  return offerByLot(options, question, homes);
}

} // namespace workshatch::relay

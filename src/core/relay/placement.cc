#include "core/relay/placement.h"

#include <algorithm>

#include "core/relay/work_time.h"

namespace workshatch::relay {

namespace {

using Candidates = std::vector<std::shared_ptr<Runner>>;

/// Finalizer of MurmurHash3: nearby numbers give unrelated ones.
uint64_t mixed(uint64_t number) {
  number = (number ^ (number >> 33U)) * 0xff51afd7ed558ccdU;
  number = (number ^ (number >> 33U)) * 0xc4ceb9fe1a85ec53U;
  return number ^ (number >> 33U);
}

uint32_t capped(const PlacementQuestion& question, uint32_t limit) {
  return std::min(limit, question.cap_load.value_or(limit));
}

uint32_t fullLimit(const PlacementOptions& options, const PlacementQuestion& question,
                   const Runner& runner) {
  return placeLimit(options.places, runner.entry.slots(), question.engine, question.standing);
}

/// Up to the load cap, or somewhat over the places.
uint32_t homeLimit(const PlacementOptions& options, const PlacementQuestion& question,
                   const Runner& runner) {
  const uint32_t places = runner.entry.slots();
  if (places == 0) {
    return capped(question, fullLimit(options, question, runner));
  }
  const double served = places / workTimeFactor(runner, question.now_ms);
  return capped(question, static_cast<uint32_t>(served) + options.home_slack);
}

/// Time that a request is expected to take, in times of an idle runner's work.
double expectedTime(const PlacementQuestion& question, const Runner& runner) {
  return (runner.load() + 1) * workTimeFactor(runner, question.now_ms);
}

/// @param lot differs from draw to draw of one request
/// @return of two runners drawn by lot from those after the first `homes`, the one where a request
/// is expected to take less time.
std::shared_ptr<Runner> drawRunner(const PlacementQuestion& question, size_t homes, uint64_t lot) {
  const size_t count = question.candidates.size() - homes;
  constexpr uint64_t kDrawsOfALot = 2;
  const uint64_t first_draw = question.standing.draw + kDrawsOfALot * lot;
  const auto& first = question.candidates[homes + mixed(first_draw) % count];
  const auto& second = question.candidates[homes + mixed(first_draw + 1) % count];
  return expectedTime(question, *second) < expectedTime(question, *first) ? second : first;
}

/// On a busy service: few homes, each up to its places.
std::optional<PlaceOffer> offerBusyHome(const PlacementOptions& options,
                                        const PlacementQuestion& question) {
  const size_t homes = std::min(options.busy_homes, question.candidates.size());
  if (question.refused >= homes) {
    return std::nullopt;
  }
  const auto& home = question.candidates[question.refused];
  return PlaceOffer{.runner = home,
                    .limit = fullLimit(options, question, *home),
                    .passed_over = static_cast<uint32_t>(question.refused)};
}

/// The homes up to the load cap, one runner drawn by lot, then the first homes up to their places.
std::optional<PlaceOffer> offerHome(const PlacementOptions& options,
                                    const PlacementQuestion& question) {
  const size_t homes = std::min(options.homes, question.candidates.size());
  if (question.refused < homes) {
    const auto& home = question.candidates[question.refused];
    return PlaceOffer{.runner = home,
                      .limit = homeLimit(options, question, *home),
                      .passed_over = static_cast<uint32_t>(question.refused)};
  }
  const size_t drawn = question.candidates.size() > homes ? 1 : 0;
  if (question.refused < homes + drawn) {
    const auto runner = drawRunner(question, homes, 0);
    return PlaceOffer{.runner = runner,
                      .limit = capped(question, fullLimit(options, question, *runner)),
                      .passed_over = static_cast<uint32_t>(homes)};
  }
  const size_t again = question.refused - homes - drawn;
  if (again >= std::min(options.homes_asked_again, homes)) {
    return std::nullopt;
  }
  const auto& home = question.candidates[again];
  return PlaceOffer{.runner = home,
                    .limit = fullLimit(options, question, *home),
                    .passed_over = static_cast<uint32_t>(again)};
}

/// Runners drawn by lot, the last of them up to its queue.
std::optional<PlaceOffer> offerByLot(const PlacementOptions& options,
                                     const PlacementQuestion& question) {
  const size_t draws = std::min(options.draws, question.candidates.size());
  if (question.refused >= draws) {
    return std::nullopt;
  }
  const auto runner = drawRunner(question, 0, question.refused);
  const uint32_t places = runner->entry.slots();
  const uint32_t limit = fullLimit(options, question, *runner);
  const bool last = question.refused + 1 == draws;
  const bool may_wait = last || question.busy || places == 0;
  return PlaceOffer{.runner = runner, .limit = may_wait ? limit : std::min(limit, places)};
}

} // namespace

std::optional<PlaceOffer> nextOffer(const PlacementOptions& options,
                                    const PlacementQuestion& question) {
  if (question.candidates.empty()) {
    return std::nullopt;
  }
  if (!question.by_prompt) {
    return offerByLot(options, question);
  }
  return question.busy ? offerBusyHome(options, question) : offerHome(options, question);
}

} // namespace workshatch::relay

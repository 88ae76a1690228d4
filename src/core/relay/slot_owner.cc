#include "core/relay/slot_owner.h"

#include <algorithm>

namespace workshatch::relay {

namespace {

/// What was not told again counts no longer: room for one lost message and a busy sender.
constexpr int64_t kUseValidMs = 2 * kSlotUsageReportPeriodMs + 500;
/// All who use a runner have told its owner by then.
constexpr int64_t kLearningMs = kSlotUsageReportPeriodMs + 500;
/// Relays learn of another list of relays with a renewal, 1.2 s after the first of them at most; by
/// then all ask the same owner.
constexpr int64_t kTwoOwnersMs = 2000;
/// When a runner that gives no places is asked for again: an end of its evacuation is told to all
/// relays, which then ask anew.
constexpr uint32_t kNoPlacesWaitMs = 500;

} // namespace

SlotOwner::Places& SlotOwner::placesOf(uint64_t runner, int64_t now_ms) {
  const auto [found, added] = runners_.try_emplace(runner);
  if (added) {
    found->second.known_since_ms = now_ms;
  }
  return found->second;
}

void SlotOwner::setHeld(Places& places, Use& use, uint32_t held) {
  places.load += held - use.held;
  use.held = held;
}

void SlotOwner::take(Places& places, const std::string& relay, const v1::PlaceUse& told,
                     int64_t now_ms) {
  Use& use = places.uses[relay];
  const bool old = use.incarnation == told.incarnation() && told.sequence() <= use.sequence;
  if (old) {
    return;
  }
  use.incarnation = told.incarnation();
  use.sequence = told.sequence();
  use.told_ms = now_ms;
  setHeld(places, use, told.held());
}

/// @return zero when the pace of a cold runner allows one more request; else the wait for it.
uint32_t SlotOwner::waitForPace(Places& places, const v1::PlaceClaim& claim,
                                const OwnedRunner& runner, int64_t now_ms) const {
  const uint32_t cold_ms = std::max(claim.cold_ms(), runner.cold_ms);
  places.cold_until_ms = std::max(places.cold_until_ms, now_ms + cold_ms);
  if (places.cold_until_ms <= now_ms) {
    places.pace.reset();
    return 0;
  }
  if (!runner.listed) {
    // What a cold one of its service bears is not known here yet.
    return kNoPlacesWaitMs;
  }
  if (!runner.cold_pace.limits()) {
    return 0;
  }
  if (!places.pace) {
    places.pace.emplace(now_ms);
  }
  const bool two_owners = owners_changed_ms_ && now_ms - *owners_changed_ms_ < kTwoOwnersMs;
  return places.pace->take(runner.cold_pace, two_owners, now_ms);
}

SlotOwner::Decision SlotOwner::claim(const std::string& relay, const v1::PlaceClaim& claim,
                                     const OwnedRunner& runner, int64_t now_ms) {
  Places& places = placesOf(claim.use().runner(), now_ms);
  take(places, relay, claim.use(), now_ms);
  const bool learning = now_ms - places.known_since_ms < kLearningMs;
  const uint32_t load = learning ? std::max(places.load, runner.reported_load) : places.load;
  if (runner.evacuated) {
    return Decision{.granted = false, .load = load, .wait_ms = kNoPlacesWaitMs};
  }
  if (load >= claim.limit()) {
    return Decision{.granted = false, .load = load};
  }
  if (const uint32_t wait_ms = waitForPace(places, claim, runner, now_ms); wait_ms != 0) {
    return Decision{.granted = false, .load = load, .wait_ms = wait_ms};
  }
  Use& use = places.uses[relay];
  setHeld(places, use, use.held + 1);
  return Decision{.granted = true, .load = load + 1};
}

void SlotOwner::recordUsage(const std::string& relay, const v1::PlaceUse& use, int64_t now_ms) {
  take(placesOf(use.runner(), now_ms), relay, use, now_ms);
}

void SlotOwner::forgetRelay(const std::string& relay) {
  for (auto& [runner, places] : runners_) {
    const auto found = places.uses.find(relay);
    if (found != places.uses.end()) {
      setHeld(places, found->second, 0);
      places.uses.erase(found);
    }
  }
}

void SlotOwner::forgetStale(int64_t now_ms) {
  for (auto& [runner, places] : runners_) {
    for (auto entry = places.uses.begin(); entry != places.uses.end();) {
      if (now_ms - entry->second.told_ms < kUseValidMs) {
        ++entry;
        continue;
      }
      setHeld(places, entry->second, 0);
      entry = places.uses.erase(entry);
    }
  }
  std::erase_if(runners_, [](const auto& entry) { return entry.second.uses.empty(); });
}

uint32_t SlotOwner::loadOf(uint64_t runner) const {
  const auto found = runners_.find(runner);
  return found == runners_.end() ? 0 : found->second.load;
}

} // namespace workshatch::relay

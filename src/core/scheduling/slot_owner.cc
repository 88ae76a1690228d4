#include "core/scheduling/slot_owner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace workshatch::relay {

namespace {

/// A usage report expires after this time if it is not repeated; this leaves room for one lost
/// message and a busy sender.
constexpr int64_t kUsageValidMs = 2 * kSlotUsageReportPeriodMs + 500;
/// Time after which a new owner of a runner has received a report from every relay that uses it.
constexpr int64_t kLearningPeriodMs = kSlotUsageReportPeriodMs + 500;
/// Time for which two relays may both act as the owner. Relays receive a new list of relays with a
/// renewal, at most 1.2 s after the first relay received it; after that all send their claims to
/// the same owner.
constexpr int64_t kOwnerOverlapMs = 2000;
/// Time after which a runner that grants no slots may be tried again. Relays need not wait for it
/// after an evacuation: they are notified of its end and then send claims again.
constexpr uint32_t kNoSlotsRetryMs = 500;
/// Period over which the declines of brittle runners are counted.
constexpr int64_t kDeclinePeriodMs = 1000;

} // namespace

SlotOwner::SlotState& SlotOwner::slotStateOf(uint64_t runner, int64_t now_ms) {
  const auto [found, added] = runners_.try_emplace(runner);
  if (added) {
    found->second.known_since_ms = now_ms;
  }
  return found->second;
}

void SlotOwner::setSlotsInUse(SlotState& slots, Usage& usage, uint32_t slots_in_use) {
  slots.load += slots_in_use - usage.slots_in_use;
  usage.slots_in_use = slots_in_use;
}

void SlotOwner::applyReport(SlotState& slots, const std::string& relay, const v1::PlaceUse& report,
                            int64_t now_ms) {
  Usage& usage = slots.usage_by_relay[relay];
  const bool outdated =
      usage.incarnation == report.incarnation() && report.sequence() <= usage.sequence;
  if (outdated) {
    return;
  }
  usage.incarnation = report.incarnation();
  usage.sequence = report.sequence();
  usage.reported_ms = now_ms;
  setSlotsInUse(slots, usage, report.held());
  service_times_.recordLoad(report.runner(), slots.load, now_ms);
  service_times_.recordEnded(report.runner(), report.outcomes(), now_ms);
  recordDeclines(slots, report.outcomes().declined(), now_ms);
  recordPromptReads(slots, slots.engine.applyReport(relay, report, now_ms), now_ms);
}

void SlotOwner::dropUsage(SlotState& slots, const std::string& relay, Usage& usage) {
  setSlotsInUse(slots, usage, 0);
  slots.engine.dropRelay(relay);
}

/// Learns from prompts whose first event was reported: first how the engine differs from its
/// service, then the times of the service.
void SlotOwner::recordPromptReads(SlotState& slots, const std::vector<PromptRead>& reads,
                                  int64_t now_ms) {
  for (const PromptRead& read : reads) {
    PromptReadTimes& times = prompts_by_service_[slots.service].read_times;
    if (const auto expected_ms = times.expectedMs(read.tokens)) {
      slots.read_factor.add(*expected_ms, static_cast<double>(read.duration_ms), now_ms);
    }
    times.add(read, now_ms);
  }
}

/// @param unread prompt tokens to read at the engine, those of the new prompt included
/// @return the expected time until the first event of the new prompt; 0: not known.
uint32_t SlotOwner::expectedStartMs(const SlotState& slots, uint64_t unread,
                                    const OwnedRunner& runner, int64_t now_ms) const {
  const auto prompts = prompts_by_service_.find(slots.service);
  if (prompts == prompts_by_service_.end()) {
    return 0;
  }
  const auto usual_ms = prompts->second.read_times.expectedMs(unread);
  if (!usual_ms) {
    return 0;
  }
  const double factor =
      std::max(slots.read_factor.factor(now_ms), std::min(runner.work_time_factor, kMaxReadFactor));
  constexpr double kMaxStartMs = 3'600'000;
  return static_cast<uint32_t>(std::clamp(std::ceil(*usual_ms * factor), 1.0, kMaxStartMs));
}

/// Checks the limits of a prompt. A claim without a demand counts with the mean of the service. Its
/// start is not limited, because its time limit may be that of a plain request.
SlotOwner::PromptCheck SlotOwner::checkPrompt(const SlotState& slots, const v1::PlaceClaim& claim,
                                              const OwnedRunner& runner, uint32_t load,
                                              int64_t now_ms) const {
  if (!claim.has_demand() && claim.kv_limit() == 0) {
    return PromptCheck{};
  }
  const EngineTokens stated = slots.engine.tokensFor(claim.demand(), now_ms);
  const auto prompts = prompts_by_service_.find(slots.service);
  // Until a prompt of the service was granted here, the others are assumed to be like this one.
  const EngineTokens mean =
      prompts == prompts_by_service_.end() ? stated : prompts->second.mean_tokens.mean(stated);
  const EngineTokens added = claim.has_demand() ? stated : mean;
  const EngineTokens total = slots.engine.total(load, mean);
  PromptCheck check;
  if (claim.has_demand()) {
    check.expected_start_ms = expectedStartMs(slots, total.unread + added.unread, runner, now_ms);
  }
  // An idle engine accepts any prompt: it cannot serve it sooner later, and its times would never
  // be measured again.
  if (load == 0) {
    return check;
  }
  if (claim.kv_limit() != 0 && total.kv + added.kv > claim.kv_limit()) {
    check.refusal = v1::PLACE_REFUSAL_KV_CACHE;
  } else if (claim.start_within_ms() != 0 && check.expected_start_ms > claim.start_within_ms()) {
    check.refusal = v1::PLACE_REFUSAL_LATE;
  }
  return check;
}

void SlotOwner::grantPrompt(SlotState& slots, const std::string& relay, const v1::PlaceClaim& claim,
                            int64_t now_ms) {
  if (!claim.has_demand()) {
    return;
  }
  prompts_by_service_[slots.service].mean_tokens.add(
      slots.engine.tokensFor(claim.demand(), now_ms));
  slots.engine.add(relay, claim.use(), claim.demand(), now_ms);
}

void SlotOwner::recordDeclines(SlotState& slots, uint32_t declines, int64_t now_ms) {
  if (declines == 0) {
    return;
  }
  if (now_ms - slots.declines_since_ms >= kDeclinePeriodMs) {
    slots.declines = 0;
    slots.declines_since_ms = now_ms;
  }
  slots.declines += declines;
}

/// @return 0 if a brittle runner may be sent another request that it may decline, else the delay in
/// milliseconds until it may.
uint32_t SlotOwner::brittleDelayMs(const SlotState& slots, const v1::PlaceClaim& claim,
                                   int64_t now_ms) {
  if (claim.brittle_declines() == 0) {
    return 0;
  }
  // The other half is left to requests that are on their way.
  const uint32_t allowed = (claim.brittle_declines() - 1) / 2;
  const int64_t left_ms = slots.declines_since_ms + kDeclinePeriodMs - now_ms;
  const bool held = slots.declines != 0 && slots.declines >= allowed && left_ms > 0;
  return held ? static_cast<uint32_t>(left_ms) : 0;
}

/// @return 0 if the rate limit of a cold runner allows another request, else the delay in
/// milliseconds until it does.
uint32_t SlotOwner::rateLimitDelayMs(SlotState& slots, const v1::PlaceClaim& claim,
                                     const OwnedRunner& runner, int64_t now_ms) const {
  const uint32_t cold_ms = std::max(claim.cold_ms(), runner.cold_ms);
  slots.cold_until_ms = std::max(slots.cold_until_ms, now_ms + cold_ms);
  if (slots.cold_until_ms <= now_ms) {
    slots.rate_limiter.reset();
    return 0;
  }
  if (!runner.listed) {
    // The rate that a cold runner of this service can take is not known here yet.
    return kNoSlotsRetryMs;
  }
  if (!runner.cold_pace.limits()) {
    return 0;
  }
  if (!slots.rate_limiter) {
    slots.rate_limiter.emplace(now_ms);
  }
  const bool owner_overlap = owners_changed_ms_ && now_ms - *owners_changed_ms_ < kOwnerOverlapMs;
  return slots.rate_limiter->take(runner.cold_pace, owner_overlap, now_ms);
}

/// Starts the measurement of a plain runner, if it is not being measured.
/// @return what is known about the runner before the claim is granted.
PlainRunnerReport SlotOwner::reportPlain(const SlotState& slots, const v1::PlaceClaim& claim,
                                         const OwnedRunner& runner, uint32_t load, int64_t now_ms) {
  if (!runner.plain) {
    return {};
  }
  service_times_.measure(claim.use().runner(), *runner.plain, slots.load, now_ms);
  return service_times_.report(claim.use().runner(), load, claim.start_within_ms(), now_ms);
}

/// @return the number of requests in progress below which the claim is granted. A claim that may
/// wait in the queue of a plain runner has no such limit once its expected time is known and
/// limited.
uint32_t SlotOwner::countLimit(const v1::PlaceClaim& claim, const OwnedRunner& runner,
                               const PlainRunnerReport& plain) {
  const bool may_wait = runner.plain && claim.limit() > runner.plain->slots;
  const bool by_time = may_wait && claim.start_within_ms() != 0 && plain.expected_ms != 0;
  return by_time ? std::numeric_limits<uint32_t>::max() : claim.limit();
}

SlotOwner::Decision SlotOwner::claim(const std::string& relay, const v1::PlaceClaim& claim,
                                     const OwnedRunner& runner, int64_t now_ms) {
  SlotState& slots = slotStateOf(claim.use().runner(), now_ms);
  if (runner.listed) {
    slots.service = runner.service;
  }
  applyReport(slots, relay, claim.use(), now_ms);
  const bool learning = now_ms - slots.known_since_ms < kLearningPeriodMs;
  const uint32_t load = learning ? std::max(slots.load, runner.reported_load) : slots.load;
  const PlainRunnerReport plain = reportPlain(slots, claim, runner, load, now_ms);
  if (const uint32_t wait_ms = brittleDelayMs(slots, claim, now_ms); wait_ms != 0) {
    return Decision{
        .load = load, .wait_ms = wait_ms, .refusal = v1::PLACE_REFUSAL_HELD_BACK, .plain = plain};
  }
  if (runner.evacuated) {
    return Decision{.load = load,
                    .wait_ms = kNoSlotsRetryMs,
                    .refusal = v1::PLACE_REFUSAL_HELD_BACK,
                    .plain = plain};
  }
  if (plain.late) {
    return Decision{.load = load, .refusal = v1::PLACE_REFUSAL_LATE, .plain = plain};
  }
  if (load >= countLimit(claim, runner, plain)) {
    return Decision{.load = load, .refusal = v1::PLACE_REFUSAL_LOAD, .plain = plain};
  }
  const PromptCheck prompt = checkPrompt(slots, claim, runner, load, now_ms);
  if (prompt.refusal != v1::PLACE_REFUSAL_UNKNOWN) {
    return Decision{.load = load,
                    .refusal = prompt.refusal,
                    .expected_start_ms = prompt.expected_start_ms,
                    .plain = plain};
  }
  if (const uint32_t wait_ms = rateLimitDelayMs(slots, claim, runner, now_ms); wait_ms != 0) {
    return Decision{
        .load = load, .wait_ms = wait_ms, .refusal = v1::PLACE_REFUSAL_HELD_BACK, .plain = plain};
  }
  Usage& usage = slots.usage_by_relay[relay];
  setSlotsInUse(slots, usage, usage.slots_in_use + 1);
  service_times_.recordLoad(claim.use().runner(), slots.load, now_ms);
  grantPrompt(slots, relay, claim, now_ms);
  return Decision{.granted = true,
                  .load = load + 1,
                  .expected_start_ms = prompt.expected_start_ms,
                  .plain = plain};
}

void SlotOwner::recordUsage(const std::string& relay, const v1::PlaceUse& use, int64_t now_ms) {
  applyReport(slotStateOf(use.runner(), now_ms), relay, use, now_ms);
}

void SlotOwner::dropRelay(const std::string& relay, int64_t now_ms) {
  for (auto& [runner, slots] : runners_) {
    const auto found = slots.usage_by_relay.find(relay);
    if (found != slots.usage_by_relay.end()) {
      dropUsage(slots, relay, found->second);
      slots.usage_by_relay.erase(found);
      service_times_.recordLoad(runner, slots.load, now_ms);
    }
  }
}

void SlotOwner::dropStale(int64_t now_ms) {
  for (auto& [runner, slots] : runners_) {
    slots.engine.dropStalePrefixes(now_ms);
    for (auto entry = slots.usage_by_relay.begin(); entry != slots.usage_by_relay.end();) {
      if (now_ms - entry->second.reported_ms < kUsageValidMs) {
        ++entry;
        continue;
      }
      dropUsage(slots, entry->first, entry->second);
      entry = slots.usage_by_relay.erase(entry);
      service_times_.recordLoad(runner, slots.load, now_ms);
    }
    if (slots.usage_by_relay.empty()) {
      service_times_.drop(runner);
    }
  }
  std::erase_if(runners_, [](const auto& entry) { return entry.second.usage_by_relay.empty(); });
}

uint32_t SlotOwner::loadOf(uint64_t runner) const {
  const auto found = runners_.find(runner);
  return found == runners_.end() ? 0 : found->second.load;
}

std::vector<SlotOwner::OwnedEngine> SlotOwner::engines() const {
  std::vector<OwnedEngine> engines;
  for (const auto& [runner, slots] : runners_) {
    const auto prompts = prompts_by_service_.find(slots.service);
    const EngineTokens mean = prompts == prompts_by_service_.end()
                                  ? EngineTokens{}
                                  : prompts->second.mean_tokens.mean(EngineTokens{});
    const EngineTokens tokens = slots.engine.total(slots.load, mean);
    if (tokens.kv != 0 || tokens.unread != 0) {
      engines.push_back(OwnedEngine{.runner = runner, .tokens = tokens});
    }
  }
  return engines;
}

} // namespace workshatch::relay

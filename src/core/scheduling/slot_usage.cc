#include "core/scheduling/slot_usage.h"

#include <algorithm>
#include <utility>

#include "core/scheduling/slot_owner.h"

namespace workshatch::relay {

void SlotUsage::remove(uint64_t runner) {
  const auto found = runners_.find(runner);
  if (found == runners_.end() || found->second.in_use == 0) {
    return;
  }
  --found->second.in_use;
  eraseIfUnused(runner);
}

void SlotUsage::eraseIfUnused(uint64_t runner) {
  const auto found = runners_.find(runner);
  if (found != runners_.end() && found->second.in_use == 0 && found->second.claims.empty()) {
    runners_.erase(found);
  }
}

void SlotUsage::addClaim(uint64_t runner, uint64_t sequence) {
  runners_[runner].claims.push_back(Claim{.sequence = sequence});
}

bool SlotUsage::recordFirstEvent(uint64_t runner, uint64_t sequence) {
  const auto found = runners_.find(runner);
  if (found == runners_.end()) {
    return false;
  }
  auto& claims = found->second.claims;
  const auto claim = std::find_if(claims.begin(), claims.end(), [sequence](const Claim& listed) {
    return listed.sequence == sequence;
  });
  return claim != claims.end() && std::exchange(claim->reading, false);
}

void SlotUsage::removeClaim(uint64_t runner, uint64_t sequence) {
  const auto found = runners_.find(runner);
  if (found == runners_.end()) {
    return;
  }
  std::erase_if(found->second.claims,
                [sequence](const Claim& listed) { return listed.sequence == sequence; });
  eraseIfUnused(runner);
}

void SlotUsage::recordEnd(uint64_t runner, RequestEnd end) {
  if (end == RequestEnd::NoEvidence) {
    return;
  }
  v1::RunnerOutcomes& ended = ended_[runner];
  if (end == RequestEnd::Completed) {
    ended.set_completed(ended.completed() + 1);
  } else if (end == RequestEnd::Declined) {
    ended.set_declined(ended.declined() + 1);
  } else {
    ended.set_failed(ended.failed() + 1);
  }
}

v1::PlaceUse SlotUsage::makeReport(uint64_t runner, int64_t now_ms) {
  v1::PlaceUse report;
  report.set_runner(runner);
  report.set_incarnation(incarnation_);
  report.set_sequence(++sequence_);
  const auto found = runners_.find(runner);
  if (found != runners_.end()) {
    report.set_held(found->second.in_use);
    found->second.reported_ms = now_ms;
    for (const Claim& claim : found->second.claims) {
      report.add_claims(claim.sequence);
      if (claim.reading) {
        report.add_reading(claim.sequence);
      }
    }
  }
  if (const auto ended = ended_.find(runner); ended != ended_.end()) {
    *report.mutable_outcomes() = ended->second;
    ended_.erase(ended);
  }
  return report;
}

std::vector<uint64_t> SlotUsage::dueRunners(int64_t now_ms) const {
  std::vector<uint64_t> due;
  for (const auto& [runner, usage] : runners_) {
    if (usage.in_use != 0 && now_ms - usage.reported_ms >= kSlotUsageReportPeriodMs) {
      due.push_back(runner);
    }
  }
  return due;
}

std::vector<uint64_t> SlotUsage::runners() const {
  std::vector<uint64_t> runners;
  for (const auto& [runner, usage] : runners_) {
    if (usage.in_use != 0) {
      runners.push_back(runner);
    }
  }
  return runners;
}

uint32_t SlotUsage::slotsInUse(uint64_t runner) const {
  const auto found = runners_.find(runner);
  return found == runners_.end() ? 0 : found->second.in_use;
}

} // namespace workshatch::relay

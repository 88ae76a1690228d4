#include "core/relay/slot_usage.h"

#include "core/relay/slot_owner.h"

namespace workshatch::relay {

void SlotUsage::remove(uint64_t runner) {
  const auto found = runners_.find(runner);
  if (found == runners_.end()) {
    return;
  }
  if (--found->second.held == 0) {
    runners_.erase(found);
  }
}

v1::PlaceUse SlotUsage::makeReport(uint64_t runner, int64_t now_ms) {
  v1::PlaceUse use;
  use.set_runner(runner);
  use.set_incarnation(incarnation_);
  use.set_sequence(++sequence_);
  const auto found = runners_.find(runner);
  if (found != runners_.end()) {
    use.set_held(found->second.held);
    found->second.told_ms = now_ms;
  }
  return use;
}

std::vector<uint64_t> SlotUsage::dueRunners(int64_t now_ms) const {
  std::vector<uint64_t> due;
  for (const auto& [runner, held] : runners_) {
    if (now_ms - held.told_ms >= kSlotUsageReportPeriodMs) {
      due.push_back(runner);
    }
  }
  return due;
}

std::vector<uint64_t> SlotUsage::runners() const {
  std::vector<uint64_t> runners;
  for (const auto& [runner, held] : runners_) {
    runners.push_back(runner);
  }
  return runners;
}

uint32_t SlotUsage::heldAt(uint64_t runner) const {
  const auto found = runners_.find(runner);
  return found == runners_.end() ? 0 : found->second.held;
}

} // namespace workshatch::relay

/// @file
/// What one relay has in progress at runners, as it tells the owners.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Counts the places that this relay holds and numbers what it tells of them.
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class SlotUsage {
public:
  /// @param incarnation differs with each start of the process
  explicit SlotUsage(uint32_t incarnation) : incarnation_(incarnation) {}

  void add(uint64_t runner) { ++runners_[runner].held; }
  void remove(uint64_t runner);

  /// @return the message that tells what is held at the runner now.
  v1::PlaceUse makeReport(uint64_t runner, int64_t now_ms);

  /// @return runners with places held of which nothing was told for `kSlotUsageReportPeriodMs`.
  std::vector<uint64_t> dueRunners(int64_t now_ms) const;
  /// Runners with places held.
  std::vector<uint64_t> runners() const;
  uint32_t heldAt(uint64_t runner) const;

private:
  struct Held {
    uint32_t held = 0;
    int64_t told_ms = 0;
  };

  const uint32_t incarnation_;
  uint64_t sequence_ = 0;
  /// By fingerprint of the runner's life; none without places.
  std::unordered_map<uint64_t, Held> runners_;
};

} // namespace workshatch::relay

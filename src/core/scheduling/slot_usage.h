/// @file
/// The slots at runners that one relay uses, as it reports them to the owners of the slots.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// How a request at a runner ended, as evidence about the runner.
enum class RequestEnd {
  /// The runner responded.
  Completed,
  /// The runner failed the request or broke it off.
  Failed,
  /// The runner declined the request for want of room.
  Declined,
  /// The request did not run for another reason, or was ended by its caller or by a time limit.
  NoEvidence,
};

/// Counts the slots at runners that this relay uses, and numbers its reports about them.
///
/// Reports also list the claims that state the demand of a prompt, so that the owner knows which
/// prompts are still in progress. A claim is listed from the moment when it is sent: otherwise a
/// report that is sent before the answer arrives would tell the owner that the prompt has ended.
///
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class SlotUsage {
public:
  /// @param incarnation number that differs with each start of the process
  explicit SlotUsage(uint32_t incarnation) : incarnation_(incarnation) {}

  void add(uint64_t runner) { ++runners_[runner].in_use; }
  void remove(uint64_t runner);
  /// Counts a request that ended in the next report about its runner.
  void recordEnd(uint64_t runner, RequestEnd end);
  /// Drops the ended requests of a runner that has no owner to report them to.
  void dropEnded(uint64_t runner) { ended_.erase(runner); }

  /// Lists the claim of a prompt in the reports about the runner, as one without a first event.
  void addClaim(uint64_t runner, uint64_t sequence);
  /// Records that the first event of the prompt with this claim has arrived.
  /// @return whether this changes the reports: the claim is listed as one without a first event.
  bool recordFirstEvent(uint64_t runner, uint64_t sequence);
  /// Lists the claim no longer: it was not granted, or its request has ended.
  void removeClaim(uint64_t runner, uint64_t sequence);

  /// @return a report of the slots in use at the runner now, and of the requests that ended there
  /// since the last report.
  v1::PlaceUse makeReport(uint64_t runner, int64_t now_ms);

  /// @return runners with slots in use that were not reported for `kSlotUsageReportPeriodMs`.
  std::vector<uint64_t> dueRunners(int64_t now_ms) const;
  /// @return all runners with slots in use.
  std::vector<uint64_t> runners() const;
  uint32_t slotsInUse(uint64_t runner) const;

private:
  struct Claim {
    uint64_t sequence = 0;
    /// Whether its first event has not arrived yet.
    bool reading = true;
  };
  struct Usage {
    uint32_t in_use = 0;
    int64_t reported_ms = 0;
    std::vector<Claim> claims;
  };

  void eraseIfUnused(uint64_t runner);

  const uint32_t incarnation_;
  uint64_t sequence_ = 0;
  /// By fingerprint of the runner's incarnation; contains only runners with slots in use or
  /// with claims.
  std::unordered_map<uint64_t, Usage> runners_;
  /// Requests that ended and were not reported, by fingerprint of the runner's incarnation.
  std::unordered_map<uint64_t, v1::RunnerOutcomes> ended_;
};

} // namespace workshatch::relay

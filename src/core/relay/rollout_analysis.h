/// @file
/// The leader's judgement of a rollout: by the outcomes that relays tell of both versions.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "core/relay/version_comparison.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// What the judgement rests on besides the outcomes.
struct RolloutConditions {
  int64_t now_ms = 0;
  /// Places of all runners of the target version, and of the former ones.
  uint64_t target_slots = 0;
  uint64_t former_slots = 0;
  /// The leader has heard all relays since it leads.
  bool all_relays_reported = false;
  /// No relay has requests at former versions any more.
  bool former_idle = false;
};

/// One rollout at the leader. A version that is worse is rolled back as soon as the evidence is
/// strong, also while it is promoted. A version that was on trial for long enough without evidence
/// against it is promoted, and has succeeded once the former versions have nothing left to do. What
/// can't be judged in time is rolled back: a bad version in force harms callers, a good one that
/// has to be ordered again costs an operator a call.
///
/// A new leader learns all outcomes from the relays' next reports, which count from the beginning
/// of the rollout; until it has heard them all it may roll back, and nothing else. Times are
/// milliseconds of the monotonic clock. Not safe for concurrent use.
class RolloutAnalysis {
public:
  /// @param elapsed_ms since the order
  RolloutAnalysis(const v1::Rollout& rollout, int64_t elapsed_ms, int64_t now_ms)
      : duration_ms_(rollout.duration_ms()), started_ms_(now_ms - elapsed_ms) {}

  /// Takes a relay's report; what an earlier process of the relay told stays counted.
  void addReport(const std::string& relay, uint64_t incarnation, const v1::RolloutReport& report,
                 int64_t now_ms);

  /// @return the phase that the rollout is to go to; nothing: it stays as it is.
  std::optional<v1::RolloutPhase> decide(v1::RolloutPhase phase,
                                         const RolloutConditions& situation);

  /// Outcomes since the beginning, for the log.
  const VersionComparison& outcomes() const { return outcomes_; }
  /// What the last decision rested on, for the log.
  const Evidence& evidence() const { return evidence_; }
  int64_t elapsedMs(int64_t now_ms) const { return now_ms - started_ms_; }

private:
  struct RelayReport {
    uint64_t incarnation = 0;
    v1::RolloutReport report;
  };
  struct Snapshot {
    int64_t at_ms = 0;
    VersionComparison outcomes;
  };

  void takeSnapshot(int64_t now_ms);
  Evidence strongestEvidence() const;
  std::optional<v1::RolloutPhase> evaluateTrial(const RolloutConditions& situation) const;

  const int64_t duration_ms_;
  const int64_t started_ms_;
  /// The last report of each relay, by its name.
  std::map<std::string, RelayReport> last_reports_;
  VersionComparison outcomes_;
  /// Earlier states of `outcomes_`, the oldest first.
  std::deque<Snapshot> snapshots_;
  Evidence evidence_;
};

} // namespace workshatch::relay

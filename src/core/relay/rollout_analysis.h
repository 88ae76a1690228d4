/// @file
/// The leader's decision on a rollout, by the outcomes that relays report for both versions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/relay/outcome_intervals.h"
#include "core/relay/rollout_evidence.h"
#include "core/relay/version_comparison.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Input of a decision besides the outcomes.
struct RolloutConditions {
  int64_t now_ms = 0;
  /// Period in which relays report.
  int64_t report_period_ms = 0;
  /// Slots of all runners of the target version, and of the former versions.
  uint64_t target_slots = 0;
  uint64_t former_slots = 0;
  /// All relays have reported to the leader since it became leader.
  bool all_relays_reported = false;
  /// No relay has requests in progress at former versions.
  bool former_idle = false;
};

/// Analysis of one rollout at the leader. A target version that is worse is rolled back as soon as
/// the evidence is strong, also while it is being promoted. A version that was on trial for long
/// enough without evidence against it is promoted, and has succeeded once the former versions have
/// no requests left. A version that can't be judged in time is rolled back: a bad version in use
/// harms callers, while repeating the rollout of a good one costs an operator one command.
///
/// A new leader receives all outcomes with the relays' next reports, whose counts start at the
/// beginning of the rollout. Until all relays have reported, it may only roll back. Times are
/// milliseconds of the monotonic clock. Not safe for concurrent use.
class RolloutAnalysis {
public:
  /// @param elapsed_ms time since the rollout was ordered
  RolloutAnalysis(const v1::Rollout& rollout, int64_t elapsed_ms, int64_t now_ms);

  /// Adds a relay's report. Outcomes that an earlier process of the relay reported remain counted.
  void addReport(const std::string& relay, uint64_t incarnation, const v1::RolloutReport& report,
                 int64_t now_ms);

  /// @return the next phase of the rollout; empty: it stays in the present one.
  std::optional<v1::RolloutPhase> decide(v1::RolloutPhase phase,
                                         const RolloutConditions& conditions);

  /// Outcomes since the beginning of the rollout, for the log.
  const VersionComparison& outcomes() const { return outcomes_; }
  /// Evidence at the last decision, for the log.
  const RolloutEvidence& evidence() const { return evidence_; }
  /// Number of intervals by which the whole rollout is evaluated, for the log.
  size_t intervalCount() const { return whole_.list().size(); }
  /// Number of relays that have reported responses of the target version, for the log.
  size_t relaysWithTarget() const;
  int64_t elapsedMs(int64_t now_ms) const { return now_ms - started_ms_; }

private:
  struct RelayReport {
    uint64_t incarnation = 0;
    v1::RolloutReport report;
  };

  void add(const VersionComparison& outcomes, const RunnerGroupCounts& groups, int64_t now_ms);
  void evaluate(const RolloutConditions& conditions);
  std::optional<v1::RolloutPhase> evaluateTrial(const RolloutConditions& conditions) const;

  const int64_t duration_ms_;
  const int64_t started_ms_;
  /// The last report of each relay, by its name.
  std::map<std::string, RelayReport> last_reports_;
  VersionComparison outcomes_;
  /// Outcomes of the longest of the recent time windows, and of the whole rollout.
  OutcomeIntervals recent_;
  OutcomeIntervals whole_;
  RolloutEvidence evidence_;
};

} // namespace workshatch::relay

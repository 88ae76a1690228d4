/// @file
/// Finds the parts of prompts that crash runners, and selects them for quarantine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Crashes of runners that relays report to the leader, by the parts of the prompts in progress.
///
/// Load pattern: prompts with one part crash each runner that begins to answer them. No two of them
/// are alike, they arrive at any relay, and sound prompts share their other parts. At each crash
/// some ten other prompts break off, whose callers try again. Runners also crash in waves that no
/// part causes.
///
/// Evidence against a part is a crash at which a prompt with it was in progress that the runner had
/// not been answering for a while. Evidence for it is an answer that began after the crash and went
/// on (`SoundParts`): it takes all earlier crashes back. The crashes of one moment are a wave,
/// which counts as the fraction of its crashes at which the part was present, or as two if that is
/// all of several, so that a wave which no part causes counts little against parts that are
/// everywhere. A part goes into quarantine if
/// - it was present at all crashes since its first one, and they count `kCrashesIfAtAll`, or they
///   count `kCrashes`; or they are `kCrashes` in several waves, and it was not answered for longer
///   since,
/// - its presence at so many of the crashes is no matter of chance, by its share of the prompts,
/// - no other part explains the same crashes better: one that was present at more of them; or at
/// the
///   same ones, and was in fewer of the prompts there; or in the same prompts, further behind,
/// - the relays were asked whether it is sound, and had time to answer.
/// A crash at which a part in quarantine was present counts only against parts that were in all
/// prompts with it, so that they may be the cause in its place.
///
/// The counts are not stored: relays report their crashes again to a new leader, which waits for
/// them. What is decided is an order of the replicated log. Times are milliseconds of the monotonic
/// clock. Not safe for concurrent use.
class PartCrashCounts {
public:
  static constexpr double kCrashesIfAtAll = 4;
  static constexpr size_t kCrashes = 5;
  /// Number of crashes from which on relays are asked about a part.
  static constexpr size_t kCrashesToAsk = 2;

  /// Prepares for a term of leadership, in which all relays report again.
  void beginTerm(int64_t now_ms);

  /// Adds the reports of a relay's lease renewal. Repeated reports have no effect.
  void addReport(const v1::LeaseRenewal& renewal, int64_t now_ms);

  /// Sets the list of what is in quarantine.
  void setQuarantine(const v1::QuarantineList& list);

  /// @param wall_ms wall time, milliseconds since the epoch
  /// @return orders to be given now. An order that does not take effect is returned again later.
  std::vector<v1::QuarantineOrder> dueOrders(int64_t now_ms, uint64_t wall_ms);

  /// The parts about which relays are to be asked.
  const v1::SuspectedParts& suspects() const { return suspects_; }
  /// @return whether the suspects changed since the last call.
  bool takeSuspectsChanged();

private:
  /// Shared parts of one prompt, in their order.
  using Prompt = std::vector<uint64_t>;
  /// Crash of one runner's process.
  struct Crash {
    uint64_t runner = 0;
    int64_t crashed_ms = 0;
    std::set<Prompt> prompts;
    /// Number of its wave.
    size_t wave = 0;
  };
  /// What speaks against one part.
  struct Evidence {
    /// Positions of crashes in `crashes_`, ascending.
    std::vector<size_t> crashes;
    /// Prompts with the part at these crashes, by position of the crash.
    std::set<std::pair<size_t, Prompt>> prompts;
    /// When the crashes counted enough, and when they were `kCrashes` in several waves.
    std::optional<int64_t> enough_ms;
    std::optional<int64_t> many_ms;
  };
  using EvidenceByPart = std::map<uint64_t, Evidence>;

  Crash& crashFor(uint64_t runner, int64_t crashed_ms);
  void addCrash(const v1::RunnerEnd& report, int64_t now_ms);
  void dropExpired(int64_t now_ms);
  void findWaves();
  bool isQuarantined(uint64_t part) const { return quarantined_.contains(part); }
  bool hasQuarantined(const Prompt& prompt) const;
  bool isExplained(const Crash& crash) const;
  std::map<uint64_t, std::set<uint64_t>> companionsOfQuarantined() const;
  EvidenceByPart collectEvidence() const;
  /// The crashes since the first one at which a part was present, without those that a part in
  /// quarantine explains and at which it was not.
  struct CrashesSince {
    size_t crashes = 0;
    size_t prompts = 0;
  };
  CrashesSince crashesSinceFirst(const Evidence& evidence) const;
  static double chanceOf(const Evidence& evidence, const CrashesSince& since);
  void weigh(Evidence& evidence) const;
  static bool explainsBetter(uint64_t other, const Evidence& by_other, uint64_t part,
                             const Evidence& by_part);
  static bool isBestExplanation(uint64_t part, const EvidenceByPart& evidence);
  bool mayBeJudged(uint64_t part, const Evidence& evidence, int64_t now_ms) const;
  void updateSuspects(const EvidenceByPart& evidence, int64_t now_ms);
  bool crashedSince(uint64_t part, int64_t since_ms) const;
  void addReleases(std::vector<v1::QuarantineOrder>& orders, int64_t now_ms);

  /// Sorted by time.
  std::vector<Crash> crashes_;
  /// Number of crashes by wave, without those that a part in quarantine explains.
  std::vector<size_t> wave_sizes_;
  /// When the last sound answer of a prompt with the part began.
  std::map<uint64_t, int64_t> sound_ms_;
  /// Parts in quarantine, with their entries.
  std::map<uint64_t, v1::QuarantinedRequest> quarantined_;
  /// When an order for a part was last given.
  std::map<uint64_t, int64_t> ordered_ms_;
  v1::SuspectedParts suspects_;
  /// When relays were first asked about each suspect.
  std::map<uint64_t, int64_t> asked_ms_;
  bool suspects_changed_ = false;
  int64_t term_began_ms_ = 0;
  int64_t last_report_ms_ = 0;
  /// There are reports since the last evaluation.
  bool has_news_ = false;
  int64_t next_check_ms_ = 0;
};

} // namespace workshatch::relay

/// @file
/// The owner's side of runners' slots: counts what all relays have in progress at a runner and
/// grants slots up to a limit.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/scheduling/engine_load.h"
#include "core/scheduling/prompt_read_times.h"
#include "core/scheduling/service_times.h"
#include "core/scheduling/slot_rate_limiter.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Period after which a relay repeats the report of its usage of a runner.
inline constexpr int64_t kSlotUsageReportPeriodMs = 1500;

/// What the owner's runner table contains about a runner.
struct OwnedRunner {
  /// Load by the last load totals. Counts only until the owner has received reports from all relays
  /// that use the runner.
  uint32_t reported_load = 0;
  /// Whether the runner is in the owner's runner list.
  bool listed = false;
  /// Whether the runner's zone is evacuated.
  bool evacuated = false;
  /// Remaining time for which the runner is cold.
  uint32_t cold_ms = 0;
  /// Rate limit of requests to the runner while it is cold.
  RateLimit cold_pace;
  /// Service of the runner; empty if it is not listed.
  std::string service;
  /// Factor by which requests take longer than usual at the runner, as it reports itself.
  double work_time_factor = 1;
  /// Set if the service time of the runner is to be measured.
  std::optional<PlainRunner> plain;
};

/// Grants the slots of the runners that one relay owns.
///
/// Load pattern: hundreds of relays each send a few requests per second to hundreds of runners.
/// Load totals are older than the duration of most requests, so all relays choose the same runner
/// and find it full. Here one relay counts what the others have in progress at a runner; its count
/// lags behind by the transit time of a datagram only.
///
/// Relays report how many slots they use, not each slot that they take or release: a lost message
/// makes the count wrong only until the next report, or until the old one expires. A relay that
/// sends a claim to the wrong owner, while lists of relays differ, is answered all the same; two
/// owners may then grant some slots twice.
///
/// At a model engine a free slot is not enough: a claim that states the demand of its prompt also
/// states how many tokens the KV cache may hold with it, and its longest expected start. The owner
/// counts the tokens of the prompts in progress (`EngineLoad`) and learns from their first events
/// how long reading takes (`PromptReadTimes`). Requests whose demand is not known count with the
/// mean of the service's recent prompts.
///
/// The slots of a cold runner are granted at its rate limit, whichever relay reports that it is
/// cold. No slots are granted at a runner in an evacuated zone.
///
/// A brittle runner, whose process fails if it declines too many requests within a second, is
/// granted no slots for a second after it declined half as many.
///
/// Plain runners are limited by the expected time of a request where it is known
/// (service_times.h).
///
/// Guarantees: no claim is granted over its limits of slots and tokens, as far as relays report
/// their usage of the runner to this owner, except that the KV cache of an engine without requests
/// in progress accepts a prompt of any size; while a runner counts as cold, no second brings it
/// more grants than its rate limit and burst allow. Times are milliseconds of the monotonic clock.
/// Not safe for concurrent use.
class SlotOwner {
public:
  /// The answer to a claim.
  struct Decision {
    bool granted = false;
    /// Requests in progress at the runner, including the granted one.
    uint32_t load = 0;
    /// Set if the claim was refused for another reason than its limit: the time for which no slot
    /// will be granted.
    uint32_t wait_ms = 0;
    /// Why the claim was refused.
    v1::PlaceRefusal refusal = v1::PLACE_REFUSAL_UNKNOWN;
    /// Expected time from the grant to the first event of a prompt; 0: not known.
    uint32_t expected_start_ms = 0;
    /// Set for a plain runner.
    PlainRunnerReport plain;
  };

  /// Tokens in progress at an engine.
  struct OwnedEngine {
    /// Fingerprint of the engine's incarnation.
    uint64_t runner = 0;
    EngineTokens tokens;
  };

  /// Records that the relays that own runners have changed: for a short time another relay may
  /// grant slots of the same runners.
  void recordOwnersChanged(int64_t now_ms) { owners_changed_ms_ = now_ms; }

  /// @param relay address of the relay that sends the claim
  Decision claim(const std::string& relay, const v1::PlaceClaim& claim, const OwnedRunner& runner,
                 int64_t now_ms);

  /// Records a relay's usage of a runner; a report that is older than the last one is ignored.
  void recordUsage(const std::string& relay, const v1::PlaceUse& use, int64_t now_ms);

  /// Drops the usage of a relay that is gone.
  void dropRelay(const std::string& relay, int64_t now_ms);

  /// Drops usage whose report was not repeated in time.
  void dropStale(int64_t now_ms);

  /// @return the requests in progress at the runner, by the relays' reports.
  uint32_t loadOf(uint64_t runner) const;
  size_t runnerCount() const { return runners_.size(); }
  /// @return the engines with tokens in progress.
  std::vector<OwnedEngine> engines() const;

  const ServiceTimes& serviceTimes() const { return service_times_; }
  /// Records the service time that the owner of another runner of the service reported.
  void recordReceivedServiceTime(const std::string& service, uint32_t service_time_ms,
                                 int64_t now_ms) {
    service_times_.recordReceived(service, service_time_ms, now_ms);
  }

private:
  struct Usage {
    uint32_t slots_in_use = 0;
    uint32_t incarnation = 0;
    uint64_t sequence = 0;
    int64_t reported_ms = 0;
  };
  struct SlotState {
    /// When the first report or claim for this runner arrived.
    int64_t known_since_ms = 0;
    uint32_t load = 0;
    /// By the relay's address.
    std::map<std::string, Usage> usage_by_relay;
    /// Time until which the runner counts as cold.
    int64_t cold_until_ms = 0;
    /// Limits the grants while the runner is cold; empty while it is warm.
    std::optional<SlotRateLimiter> rate_limiter;
    /// Requests that the runner declined within the second that began at `declines_since_ms`.
    uint32_t declines = 0;
    int64_t declines_since_ms = 0;
    /// Prompts in progress, and the speed of the engine. Unused for plain runners.
    EngineLoad engine;
    EngineReadFactor read_factor;
    /// As of the last claim; empty before it, or if the runner was never in the owner's list.
    std::string service;
  };
  /// What was learned from the prompts of a service at the engines that this relay owns.
  struct ServicePrompts {
    PromptReadTimes read_times;
    MeanPromptTokens mean_tokens;
  };
  /// Result of checking a claim against the limits of its prompt.
  struct PromptCheck {
    /// `PLACE_REFUSAL_UNKNOWN`: the claim is within the limits.
    v1::PlaceRefusal refusal = v1::PLACE_REFUSAL_UNKNOWN;
    uint32_t expected_start_ms = 0;
  };

  SlotState& slotStateOf(uint64_t runner, int64_t now_ms);
  static void recordDeclines(SlotState& slots, uint32_t declines, int64_t now_ms);
  static uint32_t brittleDelayMs(const SlotState& slots, const v1::PlaceClaim& claim,
                                 int64_t now_ms);
  uint32_t rateLimitDelayMs(SlotState& slots, const v1::PlaceClaim& claim,
                            const OwnedRunner& runner, int64_t now_ms) const;
  static void setSlotsInUse(SlotState& slots, Usage& usage, uint32_t slots_in_use);
  void applyReport(SlotState& slots, const std::string& relay, const v1::PlaceUse& report,
                   int64_t now_ms);
  static void dropUsage(SlotState& slots, const std::string& relay, Usage& usage);
  void recordPromptReads(SlotState& slots, const std::vector<PromptRead>& reads, int64_t now_ms);
  PromptCheck checkPrompt(const SlotState& slots, const v1::PlaceClaim& claim,
                          const OwnedRunner& runner, uint32_t load, int64_t now_ms) const;
  uint32_t expectedStartMs(const SlotState& slots, uint64_t unread, const OwnedRunner& runner,
                           int64_t now_ms) const;
  void grantPrompt(SlotState& slots, const std::string& relay, const v1::PlaceClaim& claim,
                   int64_t now_ms);
  PlainRunnerReport reportPlain(const SlotState& slots, const v1::PlaceClaim& claim,
                                const OwnedRunner& runner, uint32_t load, int64_t now_ms);
  static uint32_t countLimit(const v1::PlaceClaim& claim, const OwnedRunner& runner,
                             const PlainRunnerReport& plain);

  /// By fingerprint of the runner's incarnation.
  std::unordered_map<uint64_t, SlotState> runners_;
  /// By name; only services of which a prompt was granted here.
  std::map<std::string, ServicePrompts> prompts_by_service_;
  /// Empty if the owners never changed.
  std::optional<int64_t> owners_changed_ms_;
  ServiceTimes service_times_;
};

} // namespace workshatch::relay

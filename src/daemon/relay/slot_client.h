/// @file
/// Claims and releases slots at runners through the relays that own them, and answers the claims
/// for slots that this relay owns.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "core/scheduling/placement.h"
#include "core/scheduling/slot_owner.h"
#include "core/scheduling/slot_usage.h"
#include "daemon/relay/relay_peers.h"
#include "ports/clock.h"

namespace workshatch::daemon {

class SlotClient;

/// Guard of one slot at a runner; releases the slot when it is destroyed. It may outlive the
/// client.
class SlotGuard {
public:
  /// Creates a guard without a slot.
  SlotGuard() = default;
  /// @param claim sequence number of the listed claim by which the slot was granted; 0: none
  SlotGuard(std::weak_ptr<SlotClient> client, uint64_t runner, uint64_t claim = 0)
      : client_(std::move(client)), runner_(runner), claim_(claim) {}
  ~SlotGuard() { release(); }
  SlotGuard(SlotGuard&& other) noexcept
      : client_(std::move(other.client_)), runner_(other.runner_), claim_(other.claim_) {
    other.client_.reset();
  }
  SlotGuard& operator=(SlotGuard&& other) noexcept;
  SlotGuard(const SlotGuard&) = delete;
  SlotGuard& operator=(const SlotGuard&) = delete;

  /// @param end how the request ended, for the measurement of a plain runner
  void release(relay::RequestEnd end = relay::RequestEnd::NoEvidence);
  /// Reports to the owner that the first event of the response has arrived. Does nothing when
  /// called again, or if the claim for the slot had no demand.
  void recordFirstEvent();

private:
  std::weak_ptr<SlotClient> client_;
  uint64_t runner_ = 0;
  uint64_t claim_ = 0;
};

/// A claim for a slot at a runner.
struct SlotClaim {
  /// Fingerprint of the runner.
  uint64_t runner = 0;
  /// Maximum number of requests in progress at the runner, including this one.
  uint32_t limit = 0;
  /// Milliseconds for which the runner stays cold according to this relay.
  uint32_t cold_ms = 0;
  /// Demand of a prompt; empty: not known, or the runner is no model engine.
  std::optional<v1::PromptDemand> demand;
  relay::PromptLimits prompt_limits;
  /// Longest expected time in milliseconds until the end of a request to a plain runner; 0: no
  /// limit. Used only without a demand; the limit of a prompt is that of `prompt_limits`.
  uint32_t start_within_ms = 0;
  /// Requests that the runner can decline within a second before its process fails; empty: not
  /// stated.
  std::optional<uint32_t> max_declines;
};

enum class SlotVerdict {
  Granted,
  /// The runner has reached the limit of the claim, or currently gives out no slots.
  Refused,
  /// No owner is known, or the owner did not answer in time.
  Unanswered,
};

struct SlotClaimResult {
  SlotVerdict verdict = SlotVerdict::Unanswered;
  /// Requests in progress at the runner, including a granted one; not set if unanswered.
  uint32_t load = 0;
  /// Nonzero if the claim was refused for another reason than its limit: milliseconds for which the
  /// runner gives out no slots.
  uint32_t wait_ms = 0;
  /// Why the claim was refused; without meaning if it was granted or unanswered.
  v1::PlaceRefusal refusal = v1::PLACE_REFUSAL_UNKNOWN;
  /// Expected milliseconds until the first event of a prompt, or until the end of a plain request;
  /// 0: not known.
  uint32_t expected_start_ms = 0;
  /// What the owner reported about a plain runner; without meaning if unanswered.
  relay::PlainRunnerReport plain;
  /// Guards a slot only if the claim was granted.
  SlotGuard slot;
};

/// Claims slots from their owners, answers the claims of other relays, and reports to the owners
/// how many slots this relay uses. Lives on the relay's event loop; not safe for concurrent use.
///
/// Guarantee: a failure of this protocol never prevents a request from being served. If an owner
/// does not answer, the relay can decide by the load totals that the leader distributes.
class SlotClient : public std::enable_shared_from_this<SlotClient> {
public:
  /// Looks up a runner, by fingerprint, in this relay's own tables.
  using RunnerSource = std::function<relay::OwnedRunner(uint64_t runner)>;

  /// Totals since the start of the process.
  struct Counts {
    uint64_t granted = 0;
    uint64_t refused = 0;
    /// Refused claims whose reason was a cold runner or an evacuated zone.
    uint64_t held_back = 0;
    uint64_t unanswered = 0;
    /// Claims of other relays that this relay answered.
    uint64_t answered = 0;
  };

  SlotClient(std::shared_ptr<RelayPeers> peers, const Clock& clock, uint32_t incarnation,
             RunnerSource runner_source);

  /// Claims a slot from the runner's owner.
  boost::asio::awaitable<SlotClaimResult> claim(SlotClaim request);
  /// Takes a slot regardless of the runner's limit, and reports it to the owner.
  SlotGuard takeWithoutClaim(uint64_t runner);

  /// Repeats the reports to owners that are due, and removes the counts of other relays that were
  /// not reported again in time. To be called often.
  void tick();

  const Counts& counts() const { return counts_; }
  /// Number of runners for which this relay, as their owner, counts slots.
  size_t ownedRunners() const { return owner_.runnerCount(); }
  /// @return the engines that this relay owns, with their tokens in progress; engines without any
  /// are left out.
  std::vector<relay::SlotOwner::OwnedEngine> ownedEngines() const { return owner_.engines(); }
  /// @return the measurements of the plain runners that this relay owns.
  const relay::ServiceTimes& serviceTimes() const { return owner_.serviceTimes(); }

private:
  friend class SlotGuard;

  void recordOwners();
  void reportToNewOwners(const std::vector<std::string>& removed);
  void release(uint64_t runner, uint64_t claim, relay::RequestEnd end);
  void recordFirstEvent(uint64_t runner, uint64_t claim);
  void recordServiceTime(uint64_t runner, const relay::PlainRunnerReport& report, int64_t now_ms);
  void reportToOwner(uint64_t runner);
  void answerClaim(const v1::PlaceClaim& claim, const std::string& from);
  v1::PlaceClaim makeClaim(const SlotClaim& request, int64_t now_ms);
  SlotClaimResult resultOf(const v1::PlaceClaim& claim, const relay::SlotOwner::Decision& decision);
  SlotClaimResult unanswered(const v1::PlaceClaim& claim);

  const std::shared_ptr<RelayPeers> peers_;
  const Clock& clock_;
  relay::SlotUsage used_slots_;
  relay::SlotOwner owner_;
  const RunnerSource runner_source_;
  /// Owners, before a change of the relay list, of the runners at which this relay uses slots.
  std::map<uint64_t, std::string> previous_owners_;
  int64_t next_expiry_ms_ = 0;
  Counts counts_;
};

} // namespace workshatch::daemon

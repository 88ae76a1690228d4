/// @file
/// Places at runners, asked of their owners: other relays, or this one.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "core/relay/slot_owner.h"
#include "core/relay/slot_usage.h"
#include "daemon/relay/relay_peers.h"
#include "ports/clock.h"

namespace workshatch::daemon {

class SlotClient;

/// One place at a runner, given back when it ends.
class SlotGuard {
public:
  /// Holds nothing.
  SlotGuard() = default;
  SlotGuard(std::weak_ptr<SlotClient> client, uint64_t runner)
      : client_(std::move(client)), runner_(runner) {}
  ~SlotGuard() { release(); }
  SlotGuard(SlotGuard&& other) noexcept
      : client_(std::move(other.client_)), runner_(other.runner_) {
    other.client_.reset();
  }
  SlotGuard& operator=(SlotGuard&& other) noexcept;
  SlotGuard(const SlotGuard&) = delete;
  SlotGuard& operator=(const SlotGuard&) = delete;

  void release();

private:
  std::weak_ptr<SlotClient> client_;
  uint64_t runner_ = 0;
};

enum class SlotVerdict {
  Granted,
  /// The runner is as full as the claim allows.
  Refused,
  /// No owner is known, or it did not answer in time.
  Unanswered,
};

struct SlotClaimResult {
  SlotVerdict verdict = SlotVerdict::Unanswered;
  /// Requests in progress at the runner, the granted one included; not set without an answer.
  uint32_t load = 0;
  /// Refused for another reason than the limit: the runner gives no place for so long.
  uint32_t wait_ms = 0;
  /// Holds something only when granted.
  SlotGuard place;
};

/// Asks owners for places, answers the claims of other relays, and tells owners what is held here.
/// Lives on the relay's event loop; not safe for concurrent use.
///
/// Guarantee: nothing here ever keeps a request from being served by what the sums of loads tell.
class SlotClient : public std::enable_shared_from_this<SlotClient> {
public:
  /// @return what this relay's tables tell of a runner.
  using RunnerSource = std::function<relay::OwnedRunner(uint64_t runner)>;

  /// Figures since the start.
  struct Counts {
    uint64_t granted = 0;
    uint64_t refused = 0;
    /// Claims, of those refused, that a cold or evacuated runner was too much for.
    uint64_t held_back = 0;
    uint64_t unanswered = 0;
    /// Claims of other relays that were answered here.
    uint64_t answered = 0;
  };

  SlotClient(std::shared_ptr<RelayPeers> peers, const Clock& clock, uint32_t incarnation,
             RunnerSource runner_source);

  /// Asks for a place.
  /// @param limit requests in progress there, this one included, at most
  /// @param cold_ms for how long the runner stays cold, as this relay knows it
  boost::asio::awaitable<SlotClaimResult> claim(uint64_t runner, uint32_t limit,
                                                uint32_t cold_ms = 0);
  /// Takes a place without asking; the owner is told.
  SlotGuard takeWithoutClaim(uint64_t runner);

  /// Tells owners again what is held, and drops what others no longer tell. Runs often.
  void tick();

  const Counts& counts() const { return counts_; }
  /// Runners of which other relays tell this one what they hold.
  size_t ownedRunners() const { return owner_.runnerCount(); }

private:
  friend class SlotGuard;

  void recordOwners();
  void reportToNewOwners(const std::vector<std::string>& left);
  void release(uint64_t runner);
  void reportToOwner(uint64_t runner);
  void answerClaim(const v1::PlaceClaim& claim, const std::string& from);
  SlotClaimResult resultOf(uint64_t runner, const relay::SlotOwner::Decision& decision);

  const std::shared_ptr<RelayPeers> peers_;
  const Clock& clock_;
  relay::SlotUsage held_;
  relay::SlotOwner owner_;
  const RunnerSource runner_source_;
  /// Owners of the runners with places held, as of before the list of relays changed.
  std::map<uint64_t, std::string> owners_before_;
  int64_t stale_due_ms_ = 0;
  Counts counts_;
};

} // namespace workshatch::daemon

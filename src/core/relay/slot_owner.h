/// @file
/// The owner's side of places at runners: counts what all relays have in progress at a runner and
/// gives places up to a limit.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/relay/slot_rate_limiter.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// A relay tells what it has at a runner again after this time.
inline constexpr int64_t kSlotUsageReportPeriodMs = 1500;

/// What the owner's own tables tell of a runner.
struct OwnedRunner {
  /// Load by the last sums; counts while the owner has not heard of the runner for long enough to
  /// know all who use it.
  uint32_t reported_load = 0;
  /// It is in the owner's list.
  bool listed = false;
  /// Its zone is evacuated.
  bool evacuated = false;
  /// For how long it stays cold.
  uint32_t cold_ms = 0;
  /// How many requests it gets while it is cold.
  RateLimit cold_pace;
};

/// The places of the runners that one relay owns.
///
/// Load pattern: hundreds of relays that send a few requests a second each to hundreds of runners.
/// Sums of their loads are older than most requests last, so that all relays choose the same
/// runner and find it full. Here one relay counts what the others have at a runner, as new as a
/// datagram's way.
///
/// Relays tell how much they hold, not what they took or gave back: a message that is lost makes
/// the count wrong only until the next one, or until it expires. A relay that asks the wrong owner,
/// while lists of relays differ, is answered all the same; two owners may then give some places
/// twice.
///
/// A cold runner gets places no faster than its pace, by whoever of the relays says that it is
/// cold; one in an evacuated zone gets none.
///
/// Guarantees: of the relays that tell it their use of a runner, no claim is granted over its
/// limit; while a runner counts as cold, no second brings it more grants than its pace and burst.
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class SlotOwner {
public:
  /// What the owner answers to a claim.
  struct Decision {
    bool granted = false;
    /// Requests in progress at the runner, the granted one included.
    uint32_t load = 0;
    /// Set when refused for another reason than the limit: no place is given for so long.
    uint32_t wait_ms = 0;
  };

  /// Notes that the relays that own runners have changed: for a moment another may give places of
  /// the same runners.
  void recordOwnersChanged(int64_t now_ms) { owners_changed_ms_ = now_ms; }

  /// @param relay address of the relay that asks
  Decision claim(const std::string& relay, const v1::PlaceClaim& claim, const OwnedRunner& runner,
                 int64_t now_ms);

  /// Takes what a relay has at a runner; a message older than the last one is ignored.
  void recordUsage(const std::string& relay, const v1::PlaceUse& use, int64_t now_ms);

  /// Drops what a relay that is gone had.
  void forgetRelay(const std::string& relay);

  /// Drops what was not told again in time.
  void forgetStale(int64_t now_ms);

  /// Requests in progress at the runner, as told.
  uint32_t loadOf(uint64_t runner) const;
  size_t runnerCount() const { return runners_.size(); }

private:
  struct Use {
    uint32_t held = 0;
    uint32_t incarnation = 0;
    uint64_t sequence = 0;
    int64_t told_ms = 0;
  };
  struct Places {
    /// When the first relay told of this runner.
    int64_t known_since_ms = 0;
    uint32_t load = 0;
    /// By address of the relay.
    std::map<std::string, Use> uses;
    /// The runner counts as cold until then.
    int64_t cold_until_ms = 0;
    /// Of a runner that was cold since it is known here.
    std::optional<SlotRateLimiter> pace;
  };

  Places& placesOf(uint64_t runner, int64_t now_ms);
  uint32_t waitForPace(Places& places, const v1::PlaceClaim& claim, const OwnedRunner& runner,
                       int64_t now_ms) const;
  static void setHeld(Places& places, Use& use, uint32_t held);
  static void take(Places& places, const std::string& relay, const v1::PlaceUse& told,
                   int64_t now_ms);

  /// By fingerprint of the runner's life.
  std::unordered_map<uint64_t, Places> runners_;
  /// Empty: never.
  std::optional<int64_t> owners_changed_ms_;
};

} // namespace workshatch::relay

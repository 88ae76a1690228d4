/// @file
/// The owner's side of places at runners: counts what all relays have in progress at a runner and
/// gives places up to a limit.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// A relay tells what it has at a runner again after this time.
inline constexpr int64_t kTellPlacesAgainMs = 1500;

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
/// Guarantee: of the relays that tell it their use of a runner, no claim is granted over its limit.
/// Times are milliseconds of the steady clock. Not safe for concurrent use.
class PlaceOwner {
public:
  /// What the owner answers to a claim.
  struct Decision {
    bool granted = false;
    /// Requests in progress at the runner, the granted one included.
    uint32_t load = 0;
  };

  /// @param relay address of the relay that asks
  /// @param told_load load of the runner by the last sums; counts while this owner has not heard of
  /// the runner for long enough to know all who use it
  Decision claim(const std::string& relay, const v1::PlaceClaim& claim, uint32_t told_load,
                 int64_t now_ms);

  /// Takes what a relay has at a runner; a message older than the last one is ignored.
  void noteUse(const std::string& relay, const v1::PlaceUse& use, int64_t now_ms);

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
  };

  Places& placesOf(uint64_t runner, int64_t now_ms);
  static void setHeld(Places& places, Use& use, uint32_t held);
  static void take(Places& places, const std::string& relay, const v1::PlaceUse& told,
                   int64_t now_ms);

  /// By fingerprint of the runner's id.
  std::unordered_map<uint64_t, Places> runners_;
};

} // namespace workshatch::relay

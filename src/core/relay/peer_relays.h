/// @file
/// The relays to which a relay forwards requests that it can't send to runners itself.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/relay/home_regions.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// @return the identification of a service in messages between relays and the leader.
uint64_t serviceFingerprint(const std::string& service);

/// @return whether the relay reports that it has no path to the runners of the service.
bool hasLostPath(const v1::RelayEntry& relay, uint64_t service);

/// The other relays, and what this relay knows of them as forwarders.
///
/// Load pattern: some or most relays of a fleet lose their path to a service at once and forward
/// all their requests to the rest. If all of them chose the nearest relay, or the same one, it
/// would get the load of all. Two random draws spread the requests, and the forwarder's own
/// requests in progress tell the slower of the two.
///
/// Limits: the choice does not know the load of a relay by others; a relay that lost its path since
/// the last list refuses, and the next one is tried. Times are milliseconds of the
/// monotonic clock. Not safe for concurrent use.
class PeerRelays {
public:
  /// @param own_address address of this relay in the list of relays
  /// @param own_zone zone of this relay
  PeerRelays(std::string own_address, std::string own_zone, ZoneRegions zones)
      : own_address_(std::move(own_address)), own_zone_(std::move(own_zone)),
        zones_(std::move(zones)) {}

  /// Sets the list of relays as the leader sent it.
  void setList(const v1::RelayList& list) { list_ = list; }

  /// Chooses the less used of two randomly drawn relays that have a path to the runners of the
  /// service, in this relay's region if there are some.
  /// @param excluded addresses of relays that were tried already
  /// @param draw random number
  /// @return the address of the relay in the list; nullopt: there is none.
  std::optional<std::string> choose(const std::string& service,
                                    const std::vector<std::string>& excluded, uint64_t draw,
                                    int64_t now_ms) const;

  /// Counts a forwarded request as in progress at the relay, until `end`.
  void begin(const std::string& address) { ++peers_[address].in_progress; }
  void end(const std::string& address);
  /// Records that the relay could not be reached or broke off; it is not chosen for a short time.
  void recordFailure(const std::string& address, int64_t now_ms);

private:
  struct Peer {
    uint32_t in_progress = 0;
    int64_t avoid_until_ms = 0;
  };

  uint32_t inProgressAt(const std::string& address) const;
  bool isAvoided(const std::string& address, int64_t now_ms) const;

  const std::string own_address_;
  const std::string own_zone_;
  const ZoneRegions zones_;
  v1::RelayList list_;
  /// Peers with requests in progress or an avoidance; others are removed now and then.
  std::unordered_map<std::string, Peer> peers_;
};

} // namespace workshatch::relay

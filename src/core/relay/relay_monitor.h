/// @file
/// Detects relays that became silent; used by the leader of the group.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace workshatch::relay {

/// Detects relays whose machine has lost power or is cut off while their links stay open.
///
/// Load pattern: hundreds of relays renew once per second or less often, so that a silence of a few
/// renewals lasts for seconds, during which callers are sent to the silent relays and other relays
/// send them slot claims. However, relays send each other requests many times per second. A relay
/// that gets no answer in time reports it, and the leader asks the silent relay to renew at once: a
/// relay that was only busy does so, and one that is gone is detected after several hundred
/// milliseconds, whatever the size of the fleet.
///
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class RelayMonitor {
public:
  /// Records a renewal.
  void recordRenewal(const std::string& relay, int64_t now_ms) {
    relays_[relay] = RelayRecord{now_ms, 0};
  }
  void remove(const std::string& relay) { relays_.erase(relay); }
  void clear() { relays_.clear(); }

  /// Records that another relay got no answer from this one.
  /// @return whether this relay must be asked to renew at once.
  bool reportUnanswered(const std::string& relay, int64_t now_ms);

  /// Removes and returns the relays that have sent no renewal for several periods, or none after
  /// they were asked for one.
  /// @param period_ms period of the relays' renewals
  std::vector<std::string> takeSilent(int64_t period_ms, int64_t now_ms);

private:
  struct RelayRecord {
    int64_t renewed_ms = 0;
    /// When the relay was asked to renew since its last renewal; 0 if it was not.
    int64_t renewal_requested_ms = 0;
  };

  std::map<std::string, RelayRecord> relays_;
};

} // namespace workshatch::relay

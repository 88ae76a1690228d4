/// @file
/// Whether all relays that may hold a lease have received a list from the leader.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace workshatch::relay {

/// Keeps the version of a list that each relay has, as told with its renewals to one leader.
///
/// Load pattern: one call of `record` for each renewal; `allHave` only while the leader waits.
///
/// Guarantee: if `allHave` returns true and this leader has led for the length of a lease, then
/// each relay whose lease holds has the version. A relay that disappeared may go on serving by its
/// lease, so `allHave` stays false for the length of a lease unless the relay renews again. Times
/// are milliseconds of the monotonic clock. Not safe for concurrent use.
class RelayAcknowledgements {
public:
  /// @param lease_ms length of a lease, from the sending of the renewal
  explicit RelayAcknowledgements(int64_t lease_ms) : lease_ms_(lease_ms) {}

  /// Forgets all relays, at the beginning of a leadership.
  void clear();
  /// Records a renewal of a relay, which has this version of the list.
  void record(const std::string& relay, uint64_t version);
  /// Records that the leader does not count on a relay any more.
  void remove(const std::string& relay, int64_t now_ms);

  /// @return whether no relay may serve by an older version of the list.
  bool allHave(uint64_t version, int64_t now_ms);

private:
  const int64_t lease_ms_;
  std::map<std::string, uint64_t> versions_;
  /// Times at which relays were removed.
  std::map<std::string, int64_t> removed_ms_;
};

} // namespace workshatch::relay

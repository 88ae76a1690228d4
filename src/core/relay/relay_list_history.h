/// @file
/// Differences between the lists of relays that one leader told.
#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "core/result.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Remembers the newest lists of relays and makes updates between them.
///
/// Load pattern: a part of the relays loses power or comes back, and all others have to know. Whole
/// lists to all of them grow with the square of the fleet; what came and went does not.
///
/// Not safe for concurrent use.
class RelayListHistory {
public:
  /// Takes the present list; gives it a version when it differs from the one before.
  /// @param version the next one
  /// @return whether it differs.
  bool set(v1::RelayList list, uint64_t version);
  /// Forgets everything: another term begins.
  void clear();

  /// Zero: there is no list to tell.
  uint64_t version() const { return lists_.empty() ? 0 : lists_.back().version(); }
  const v1::RelayList& newest() const { return lists_.back(); }

  /// @param base_version what the receiver holds
  /// @return the update to the newest list, whole when the base is not remembered; valid until the
  /// next `set` or `clear`.
  const v1::RelayListUpdate& updateFrom(uint64_t base_version);

private:
  /// By rising version; sorted by address.
  std::deque<v1::RelayList> lists_;
  /// Updates to the newest list, by base version; zero: whole.
  std::map<uint64_t, v1::RelayListUpdate> updates_;
};

/// @param base the list that the receiver holds
/// @return the list after the update, or an error when the update is damaged or for another base.
Result<v1::RelayList> applyUpdate(v1::RelayList base, const v1::RelayListUpdate& update);

} // namespace workshatch::relay

/// @file
/// Updates between the lists of relays that one leader sent.
#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "core/result.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Keeps the newest lists of relays and computes the updates between them.
///
/// Load pattern: a part of the relays loses power or comes back, and all other relays must know of
/// it. The size of whole lists for all relays grows with the square of the fleet's size; the size
/// of updates does not.
///
/// Not safe for concurrent use.
class RelayListHistory {
public:
  /// Sets the current list, which gets a version if it differs from the previous one.
  /// @param version the version that the list gets
  /// @return whether it differs.
  bool set(v1::RelayList list, uint64_t version);
  /// Drops all lists, because another term begins.
  void clear();

  /// Version 0 means that there is no list to send.
  uint64_t version() const { return lists_.empty() ? 0 : lists_.back().version(); }
  const v1::RelayList& newest() const { return lists_.back(); }

  /// @param base_version version of the list that the receiver has
  /// @return the update to the newest list, which contains the whole list if the base is not kept
  /// any more; valid until the next `set` or `clear`.
  const v1::RelayListUpdate& updateFrom(uint64_t base_version);

private:
  /// In ascending order of versions; each sorted by address.
  std::deque<v1::RelayList> lists_;
  /// Updates to the newest list, by base version; the update for base version 0 contains the whole
  /// list.
  std::map<uint64_t, v1::RelayListUpdate> updates_;
};

/// @param base the list that the receiver has
/// @return the list after the update, or an error if the update is corrupt or has another base.
Result<v1::RelayList> applyUpdate(v1::RelayList base, const v1::RelayListUpdate& update);

} // namespace workshatch::relay

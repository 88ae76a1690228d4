/// @file
/// Keeps the latest lists of runners of one leader, makes updates between them, and applies such
/// updates.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/result.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Keeps the newest lists and makes updates between them. Lists are sorted by id. Not safe for
/// concurrent use.
class RunnerListHistory {
public:
  void add(const v1::RunnerList& list);
  /// Replaces the newest list by one that differs only in the remaining cold times. Otherwise a
  /// relay that requests the whole list would treat a runner as cold that was cold long ago.
  void refreshNewest(const v1::RunnerList& list);
  /// Removes all lists, at the beginning of another term.
  void clear();

  /// @param base_version version of the receiver's list
  /// @return the update to the newest list, or the whole list if the receiver's list is not kept
  /// here. Valid until the next `add`, `refreshNewest` or `clear`.
  const v1::RunnerListUpdate& updateFrom(uint64_t base_version);

  /// @param base_version version of the receiver's list, which another leader made
  /// @param fingerprint fingerprint of the receiver's list
  /// @return the update to the newest list. It consists of the new version only if the receiver's
  /// list has the same content. Valid until the next call of this function, `add`, `refreshNewest`
  /// or `clear`.
  const v1::RunnerListUpdate& updateFrom(uint64_t base_version, uint64_t fingerprint);

  /// @return for each position in the list of that version, the position of the same runner in the
  /// newest list, or nothing if the runner is not in it; null: the list is not kept. Valid until
  /// the next `add` or `clear`.
  const std::vector<std::optional<uint32_t>>* positionsFrom(uint64_t version);

private:
  const v1::RunnerList* find(uint64_t version) const;
  uint64_t newestFingerprint();

  /// In ascending order of version.
  std::deque<v1::RunnerList> lists_;
  /// Fingerprint of the newest list, computed on first use.
  std::optional<uint64_t> newest_fingerprint_;
  /// Update for a list with the same content as the newest one.
  v1::RunnerListUpdate version_only_update_;
  /// Updates to the newest list, by base version; zero: the whole list.
  std::map<uint64_t, v1::RunnerListUpdate> updates_;
  /// Positions in the newest list, by the version of the older list.
  std::map<uint64_t, std::vector<std::optional<uint32_t>>> positions_;
};

/// @return the added and changed entries, including those sent compressed, or an error if the
/// compressed ones can't be read.
Result<v1::RunnerList> changedEntries(const v1::RunnerListUpdate& update);

/// @param base the receiver's list, sorted by id
/// @return the list after the update, or an error if the update has another base or is damaged.
Result<v1::RunnerList> applyUpdate(v1::RunnerList base, const v1::RunnerListUpdate& update);

} // namespace workshatch::relay

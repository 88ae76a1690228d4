/// @file
/// Differences between the lists of runners that one leader told.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/result.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Remembers the newest lists and makes updates between them. Lists are sorted by id. Not safe for
/// concurrent use.
class RunnerListHistory {
public:
  void add(const v1::RunnerList& list);
  /// Replaces the newest list by one that differs in how long runners stay cold only: a relay that
  /// asks for the whole list must not take a runner for cold that was so long ago.
  void refreshNewest(const v1::RunnerList& list);
  /// Forgets everything: another term begins.
  void clear();

  /// @param base_version what the receiver holds
  /// @return the update to the newest list, whole when the base is not remembered; valid until the
  /// next `add` or `clear`.
  const v1::RunnerListUpdate& updateFrom(uint64_t base_version);

  /// @param base_version what the receiver holds, told by another leader
  /// @param fingerprint of the receiver's list
  /// @return the update to the newest list: only its version where the receiver's list says the
  /// same. Valid until the next `add`, `refreshNewest` or `clear`.
  const v1::RunnerListUpdate& updateFrom(uint64_t base_version, uint64_t fingerprint);

  /// @return for each position in the list of that version the position of the same runner in the
  /// newest one, none where it has gone; null: the list is not remembered. Valid until the next
  /// `add` or `clear`.
  const std::vector<std::optional<uint32_t>>* positionsFrom(uint64_t version);

private:
  const v1::RunnerList* find(uint64_t version) const;
  uint64_t newestFingerprint();

  /// By rising version.
  std::deque<v1::RunnerList> lists_;
  /// Of the newest list, once it was asked for.
  std::optional<uint64_t> newest_fingerprint_;
  /// The update of a list that says the same as the newest.
  v1::RunnerListUpdate version_only_update_;
  /// Updates to the newest list, by base version; zero: whole.
  std::map<uint64_t, v1::RunnerListUpdate> updates_;
  /// Positions in the newest list, by the version of another.
  std::map<uint64_t, std::vector<std::optional<uint32_t>>> positions_;
};

/// @return the entries that came or changed, those that travelled compressed included; an error
/// when these can't be read.
Result<v1::RunnerList> changedEntries(const v1::RunnerListUpdate& update);

/// @param base the list that the receiver holds, sorted by id
/// @return the list after the update, or an error when the update is for another base.
Result<v1::RunnerList> applyUpdate(v1::RunnerList base, const v1::RunnerListUpdate& update);

} // namespace workshatch::relay

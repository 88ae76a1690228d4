/// @file
/// The replicated state machine of the group: the configuration with the highest version, and the
/// zones that are evacuated.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// What the committed commands of the replicated log amount to.
///
/// Guarantees: the configuration's version only grows, and the content under a version never
/// changes; a zone is evacuated exactly when the last committed order about it began an evacuation.
/// Deterministic; not safe for concurrent use.
class GroupState {
public:
  enum class Change {
    /// The state is as before; also for bytes that are no command.
    None,
    Configuration,
    Evacuations,
  };

  /// @param index position of the command in the replicated log
  Change apply(const std::string& command, uint64_t index);

  const v1::StoredConfiguration& configuration() const { return state_.configuration(); }
  /// Its version grows with each change, under all leaders.
  const v1::EvacuationList& evacuations() const { return state_.evacuations(); }

  std::string save() const { return state_.SerializeAsString(); }
  /// Takes a snapshot of this program, or of an earlier one that knew no evacuations.
  /// @return false when the bytes are no snapshot.
  bool restore(const std::string& bytes);

private:
  Change store(v1::StoredConfiguration& configuration);
  Change order(const v1::EvacuationOrder& order, uint64_t index);

  v1::GroupSnapshot state_;
};

/// @return the names of the evacuated zones.
std::vector<std::string> zoneNames(const v1::EvacuationList& evacuations);

} // namespace workshatch::relay

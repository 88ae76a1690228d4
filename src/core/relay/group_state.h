/// @file
/// The replicated state machine of the group: the configuration with the highest version, the zones
/// that are evacuated, the requests in quarantine, and the rollouts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// What the committed commands of the replicated log amount to.
///
/// Guarantees: the configuration's version only grows, and the content under a version never
/// changes; a zone is evacuated exactly when the last committed order about it began an evacuation;
/// a request is in quarantine exactly when the last committed order about it put it there, unless
/// `kMaxQuarantined` others came after it; a service has one rollout at most that is not over, and
/// a rollout's phases follow one another as `RolloutPhase` tells.
/// Deterministic; not safe for concurrent use.
class GroupState {
public:
  /// The oldest give way to new ones. Some 12 kB, which each relay gets with its first lease.
  static constexpr size_t kMaxQuarantined = 256;

  enum class Change {
    /// The state is as before; also for bytes that are no command.
    None,
    Configuration,
    Evacuations,
    Quarantine,
    Rollouts,
  };

  /// @param index position of the command in the replicated log
  Change apply(const std::string& command, uint64_t index);

  const v1::StoredConfiguration& configuration() const { return state_.configuration(); }
  /// Its version grows with each change, under all leaders.
  const v1::EvacuationList& evacuations() const { return state_.evacuations(); }

  /// As `evacuations`.
  const v1::QuarantineList& quarantine() const { return state_.quarantine(); }

  /// As `evacuations`.
  const v1::RolloutList& rollouts() const { return state_.rollouts(); }

  std::string save() const { return state_.SerializeAsString(); }
  /// Takes a snapshot of this program, or of an earlier one that knew no evacuations.
  /// @return false when the bytes are no snapshot.
  bool restore(const std::string& bytes);

private:
  Change store(v1::StoredConfiguration& configuration);
  Change quarantine(v1::QuarantineOrder& order, uint64_t index);
  Change order(const v1::EvacuationOrder& order, uint64_t index);
  Change beginRollout(v1::Rollout& rollout, uint64_t index);
  Change judgeRollout(const v1::RolloutVerdict& verdict, uint64_t index);

  v1::GroupSnapshot state_;
};

/// @return the phase as logs and operators' calls name it.
const char* nameOf(v1::RolloutPhase phase);

/// @return the last rollout of the service; null: it never had one.
const v1::Rollout* findRollout(const v1::RolloutList& rollouts, const std::string& service);

/// @return whether the rollout's phase may still change.
bool isInProgress(const v1::Rollout& rollout);

/// @return the names of the evacuated zones.
std::vector<std::string> evacuatedZoneNames(const v1::EvacuationList& evacuations);

} // namespace workshatch::relay

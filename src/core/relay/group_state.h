/// @file
/// The replicated state machine of the group: the configuration with the highest version, the
/// evacuated zones, the quarantined requests, the rollouts, and the served versions.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// The state that results from the committed commands of the replicated log.
///
/// Guarantees: the configuration's version only grows, and the content of a version never changes;
/// a zone is evacuated exactly when the last committed order for it began an evacuation; a request
/// is quarantined exactly when the last committed order for it began its quarantine, unless
/// `kMaxQuarantined` other requests were quarantined after it; a service has at most one rollout
/// in progress, and the phases of a rollout follow one another as documented at `RolloutPhase`; a
/// version of a service serves only after it was announced, apart from the service's first one.
/// Deterministic; not safe for concurrent use.
class GroupState {
public:
  /// Maximum number of quarantined requests; when the list is full, a new request replaces the
  /// oldest. A full list takes some 12 kB, and each relay receives it with its first lease.
  static constexpr size_t kMaxQuarantined = 256;

  enum class Change {
    /// The state has not changed; also returned for bytes that are not a command.
    None,
    Configuration,
    Evacuations,
    Quarantine,
    Rollouts,
    ServedVersions,
  };

  /// @param index position of the command in the replicated log
  Change apply(const std::string& command, uint64_t index);

  const v1::StoredConfiguration& configuration() const { return state_.configuration(); }
  /// The version of this list, and of those below, grows with each change, also across leaders.
  const v1::EvacuationList& evacuations() const { return state_.evacuations(); }
  const v1::QuarantineList& quarantine() const { return state_.quarantine(); }
  const v1::RolloutList& rollouts() const { return state_.rollouts(); }
  const v1::ServedVersionList& servedVersions() const { return state_.served_versions(); }

  std::string save() const { return state_.SerializeAsString(); }
  /// Restores a snapshot of this program version, or of an earlier one that did not store
  /// evacuations.
  /// @return false if the bytes are not a snapshot.
  bool restore(const std::string& bytes);

private:
  Change storeConfiguration(v1::StoredConfiguration& configuration);
  Change applyQuarantine(v1::QuarantineOrder& order, uint64_t index);
  Change applyEvacuation(const v1::EvacuationOrder& order, uint64_t index);
  Change beginRollout(v1::Rollout& rollout, uint64_t index);
  Change judgeRollout(const v1::RolloutVerdict& verdict, uint64_t index);
  Change applyVersionOrders(const v1::VersionOrders& orders, uint64_t index);

  v1::GroupSnapshot state_;
};

/// @return the name of the phase in logs and in operators' calls.
const char* nameOf(v1::RolloutPhase phase);

/// @return the service's last rollout; null if it never had one.
const v1::Rollout* findRollout(const v1::RolloutList& rollouts, const std::string& service);

/// @return whether the rollout's phase may still change.
bool isInProgress(const v1::Rollout& rollout);

std::vector<std::string> evacuatedZoneNames(const v1::EvacuationList& evacuations);

} // namespace workshatch::relay

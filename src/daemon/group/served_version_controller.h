/// @file
/// The leader's control of the list of served versions: orders its changes.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/relay/relay_acknowledgements.h"
#include "core/relay/version_admission.h"
#include "daemon/group/group_replica.h"
#include "ports/clock.h"
#include "ports/configuration_codec.h"

namespace workshatch::daemon {

struct ServedVersionOptions {
  /// False: streams may begin at any version, and nothing is replicated.
  bool enabled = true;
  /// Length of a relay's lease, from the sending of the renewal, milliseconds.
  int64_t lease_ms = 0;
};

/// Runs `relay::VersionAdmission` for the leader. Used on the replica's event loop; not safe for
/// concurrent use.
class ServedVersionController {
public:
  /// Replica, clock and codec must outlive the controller.
  ServedVersionController(GroupReplica& replica, const Clock& clock,
                          const ConfigurationCodec& codec, ServedVersionOptions options);

  /// Begins a term of leadership, in which relays register again.
  void beginTerm();

  /// Records a renewal of a relay.
  /// @param list_version version of the relay's list of served versions
  void recordRenewal(const std::string& relay, uint64_t list_version);
  /// Records that a relay is not registered any more.
  void removeRelay(const std::string& relay);
  /// Records a list that this leader read from the platform.
  void recordList(const v1::RunnerList& runners);

private:
  void proposeOrders();
  relay::AdmissionConditions conditions();
  std::optional<int64_t> streamLifetimeMs();
  Result<relay::Configuration> decodeConfiguration() const;
  void propose(const std::vector<v1::VersionOrder>& orders);

  GroupReplica& replica_;
  const Clock& clock_;
  const ConfigurationCodec& codec_;
  const ServedVersionOptions options_;
  relay::VersionAdmission admission_;
  relay::RelayAcknowledgements acknowledgements_;
  /// Orders were proposed whose outcome is not known yet.
  bool orders_in_progress_ = false;
  /// Monotonic time from which a renewal may make orders due again.
  int64_t next_check_ms_ = 0;
  /// Longest lifetime of a stream under the configurations for which it was needed, milliseconds,
  /// and the version of the newest of them.
  int64_t stream_lifetime_ms_ = 0;
  uint64_t lifetime_of_configuration_ = 0;
  /// Expires with this object, so that the outcome of an order can detect its destruction.
  const std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace workshatch::daemon

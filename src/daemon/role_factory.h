/// @file
/// Makes the role that a process was started for.
#pragma once

#include <memory>
#include <string_view>

#include "adapters/worker_pool.h"
#include "daemon/relay_adapters.h"
#include "daemon/role.h"
#include "ports/clock.h"

namespace workshatch::daemon {

/// Names of the roles on the command line.
inline constexpr std::string_view kRelayRole = "relay";
inline constexpr std::string_view kGroupRole = "group";

/// @param name `kRelayRole` or `kGroupRole`. On a machine without a data folder the group's role is
/// to send operators to the replicas, since a replica without a disk could forget its vote.
/// @return null for any other name. Workers, clock and adapters outlive the role.
std::unique_ptr<Role> makeRole(std::string_view name, const settings::RelaySettings& settings,
                               WorkerPool& workers, const Clock& clock,
                               const RelayAdapters& adapters);

} // namespace workshatch::daemon

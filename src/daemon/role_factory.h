/// @file
/// Creates the role that a process runs, by its name on the command line.
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

/// Creates a role. Workers, clock and adapters must outlive it.
/// @param name `kRelayRole` or `kGroupRole`. Without a data folder, the group role only redirects
/// operators to the replicas: a replica without a disk could lose its vote and vote twice.
/// @return the role; null if the name is unknown.
std::unique_ptr<Role> makeRole(std::string_view name, const settings::RelaySettings& settings,
                               WorkerPool& workers, const Clock& clock,
                               const RelayAdapters& adapters);

} // namespace workshatch::daemon

/// @file
/// The control role of a daemon: owns a control replica, its storage, transport and gRPC services,
/// and contacts the other replicas until a group is formed.
#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "adapters/disk/file_log_store.h"
#include "adapters/rpc/replica_transport.h"
#include "adapters/worker_pool.h"
#include "daemon/control/control_replica.h"
#include "daemon/control/control_services.h"
#include "ports/seeded_random.h"

namespace workshatch::daemon {

/// Runs a control replica with its services.
class ControlRole {
public:
  /// @param settings must outlive the role, as must `workers` and `clock`
  ControlRole(const v1::Settings& settings, WorkerPool& workers, const Clock& clock);
  ~ControlRole();
  ControlRole(const ControlRole&) = delete;
  ControlRole& operator=(const ControlRole&) = delete;

  Result<std::monostate> start();
  /// Transfers leadership and stops. The role must not be destroyed after DiskHangs was returned.
  StopOutcome stop();

private:
  /// Sends hellos to the other replicas until this one belongs to a group.
  boost::asio::awaitable<void> helloLoop();

  const v1::Settings& settings_;
  WorkerPool& workers_;
  SeededRandom random_;
  disk::FileLogStore store_;
  rpc::GrpcReplicaTransport transport_;
  ControlReplica replica_;
  std::unique_ptr<ControlServices> services_;
};

} // namespace workshatch::daemon

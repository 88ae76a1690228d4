/// @file
/// The control role of a daemon: its parts and the forming of the replication group.
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

class ControlRole {
public:
  ControlRole(const v1::Settings& settings, WorkerPool& workers, const Clock& clock);
  ~ControlRole();
  ControlRole(const ControlRole&) = delete;
  ControlRole& operator=(const ControlRole&) = delete;

  Result<std::monostate> start();
  /// Hands leadership over and stops. After DiskHangs the role must not be destroyed.
  StopOutcome stop();

private:
  /// Asks the other replicas who they are, until this one belongs to a group.
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

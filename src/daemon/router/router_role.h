/// @file
/// The router role of a daemon: its components, its periodic tasks and its planned stop.
#pragma once

#include <atomic>
#include <memory>
#include <set>
#include <string>

#include "adapters/address_overrides.h"
#include "adapters/datagram/peer_socket.h"
#include "adapters/http/http_server.h"
#include "adapters/rpc/control_client.h"
#include "adapters/worker_pool.h"
#include "daemon/router/permit_client.h"
#include "daemon/router/request_handler.h"
#include "daemon/router/router_tables.h"

namespace workshatch::daemon {

/// Must be constructed before the workers start and destroyed after they have stopped.
class RouterRole {
public:
  RouterRole(const v1::Settings& settings, uint64_t incarnation, WorkerPool& workers,
             const Clock& clock);

  /// Opens the sockets and starts the periodic tasks.
  /// @return an error if a socket cannot be opened.
  Result<std::monostate> start();

  /// Performs a planned stop: hands off the ownership of engines, keeps serving until callers have
  /// received other addresses, and waits for the requests in progress. Blocks the calling thread,
  /// which must not be a worker thread.
  void drain();

private:
  boost::asio::awaitable<void> renewLoop();
  /// @return whether the lease was renewed.
  boost::asio::awaitable<bool> renewOnce();
  std::chrono::milliseconds renewPause(bool renewed) const;
  boost::asio::awaitable<void> platformLoop();
  boost::asio::awaitable<void> readMachineList();
  boost::asio::awaitable<void> runnerLoop();
  boost::asio::awaitable<void> readRunnerReport(routing::EngineInfo engine);
  boost::asio::awaitable<void> tickLoop();
  boost::asio::awaitable<void> idleConnectionLoop();
  boost::asio::awaitable<void> departOnce();
  v1::RouterEntry routerEntry() const;
  std::string networkMetrics() const;
  bool ownershipHandedOff() const;

  const v1::Settings& settings_;
  const uint64_t incarnation_;
  WorkerPool& workers_;
  const Clock& clock_;
  const AddressOverrides addresses_;
  metrics::RouterStats stats_;
  RouterTables tables_;
  datagram::PeerSocket socket_;
  PermitClient permits_;
  EngineSelector selector_;
  rpc::ControlClient control_;
  RequestHandler handler_;
  http::Server server_;
  /// HTTP client of worker 0, used by the periodic tasks.
  http::Client client_;
  /// Revision and view last reported to the control leader as in force. Both are accessed only on
  /// worker 0.
  uint64_t reported_revision_ = 0;
  uint64_t reported_view_ = 0;
  std::atomic<bool> draining_{false};
  std::atomic<bool> departed_{false};
  std::atomic<bool> stopped_{false};
};

} // namespace workshatch::daemon

/// @file
/// The group role of a daemon: owns a group replica, its storage and links, the operator API, the
/// lease service for relays, and the reader of the platform's runner list.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "adapters/disk/file_log_store.h"
#include "adapters/http/http_server.h"
#include "adapters/link/framed_link.h"
#include "adapters/link/link_pool.h"
#include "adapters/logging/log_flusher.h"
#include "adapters/metrics/process_memory.h"
#include "adapters/settings/relay_settings.h"
#include "adapters/worker_pool.h"
#include "daemon/group/group_replica.h"
#include "daemon/group/lease_service.h"
#include "daemon/group/operator_api.h"
#include "daemon/relay_adapters.h"
#include "daemon/role.h"
#include "daemon/runner_list_reader.h"
#include "ports/seeded_random.h"

namespace workshatch::daemon {

/// Runs on the first worker's event loop; `start`, `stop` and `reload` must be called on it.
class GroupRole : public Role {
public:
  GroupRole(settings::RelaySettings settings, WorkerPool& workers, const Clock& clock,
            RelayAdapters adapters);

  Result<std::monostate> start() override;
  /// Transfers leadership and the vote, refuses the calls that are still open, then calls
  /// `stopped`.
  void stop(std::function<void()> stopped) override;
  void reload(const settings::RelaySettings& settings) override;

private:
  void accept(const std::shared_ptr<link::FramedLink>& link);
  void frameReceived(const std::shared_ptr<link::FramedLink>& link, const v1::Frame& frame);
  bool zoneExists(const std::string& zone) const;
  http::awaitable<void> finish(std::function<void()> stopped);
  http::awaitable<void> handVoteOver();
  http::awaitable<void> readRunnerLists();
  http::awaitable<void> reportMembership();
  http::awaitable<void> serveMetrics(http::Exchange& exchange);

  const settings::RelaySettings settings_;
  const Clock& clock_;
  boost::asio::io_context& context_;
  const RelayAdapters adapters_;
  const std::string link_address_;
  SeededRandom random_;
  disk::FileLogStore store_;
  link::LinkPool links_;
  GroupReplica replica_;
  MembershipReport membership_report_;
  LeaseService lease_service_;
  OperatorApi operator_api_;
  RunnerListReader reader_;
  /// Monotonic time of the last complete read of the runner list; negative if there was none.
  int64_t list_read_at_ms_ = -1;
  link::LinkListener listener_;
  http::Server operator_server_;
  http::Server metrics_server_;
  LogFlusher log_flusher_;
  metrics::MemoryWatch memory_watch_;
  boost::asio::steady_timer stop_timer_;
};

} // namespace workshatch::daemon

/// @file
/// The role of a machine without a disk, which holds no group replica: redirects operators to the
/// replicas.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/http/http_server.h"
#include "adapters/logging/log_flusher.h"
#include "adapters/settings/relay_settings.h"
#include "adapters/worker_pool.h"
#include "daemon/role.h"

namespace workshatch::daemon {

/// Answers each operator call with a redirect (307) to one of the seeds, in rotation. Holds no
/// group state, so that it neither votes nor counts as a replica.
class RedirectRole : public Role {
public:
  RedirectRole(settings::RelaySettings settings, WorkerPool& workers);

  Result<std::monostate> start() override;
  void stop(std::function<void()> stopped) override;
  void reload(const settings::RelaySettings& settings) override;

private:
  http::awaitable<void> handle(http::Exchange& exchange);
  http::awaitable<void> finish(std::function<void()> stopped);
  /// @return the next seed in rotation that is not this machine; empty if there is none.
  std::string nextSeed();

  settings::RelaySettings settings_;
  size_t next_seed_ = 0;
  boost::asio::io_context& context_;
  boost::asio::steady_timer stop_timer_;
  http::Server operator_server_;
  LogFlusher log_flusher_;
};

} // namespace workshatch::daemon

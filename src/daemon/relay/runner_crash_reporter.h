/// @file
/// Finds out whether a runner that cut a request has ended, and tells the leader.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "adapters/http/http_types.h"
#include "core/relay/runner.h"
#include "core/relay/runner_crash_monitor.h"
#include "ports/clock.h"

namespace workshatch::daemon {

/// Lives on the relay's event loop; not safe for concurrent use.
class RunnerCrashReporter : public std::enable_shared_from_this<RunnerCrashReporter> {
public:
  /// Figures since the start.
  struct Counts {
    /// Connections made to see whether a runner still listens, and those that were refused.
    uint64_t probes = 0;
    uint64_t refused = 0;
    /// Times that ends were reported to the leader.
    uint64_t reports = 0;
  };

  /// @param notify_leader called when there is something to tell with a renewal
  RunnerCrashReporter(boost::asio::io_context& context, const Clock& clock,
                      std::function<void()> notify_leader)
      : context_(context), clock_(clock), notify_leader_(std::move(notify_leader)) {}

  /// Notes that the runner cut the connection of a request in progress.
  void recordDisconnect(const relay::Runner& runner, const relay::RequestIdentity& request);
  /// Notes that the runner's address refused a connection, or took one.
  void recordConnectionRefused(const relay::Runner& runner);
  void recordListening(const relay::Runner& runner);
  /// Notes that a runner answered the request with success.
  void recordCompleted(const relay::RequestIdentity& request);
  /// @return whether it did lately.
  bool completedRecently(const relay::RequestIdentity& request);

  /// Adds to a renewal what the leader has not been told.
  void fill(v1::LeaseRenewal& renewal, bool first_on_link);

  const Counts& counts() const { return counts_; }

private:
  http::awaitable<void> probe(uint64_t runner, std::string address);
  void onConnectionRefused(uint64_t runner);
  void notifyLeader();

  boost::asio::io_context& context_;
  const Clock& clock_;
  const std::function<void()> notify_leader_;
  relay::RunnerCrashMonitor watch_;
  Counts counts_;
};

} // namespace workshatch::daemon

/// @file
/// Detects crashes of runners and reports to the leader which requests were in progress at them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "adapters/http/http_types.h"
#include "core/relay/runner.h"
#include "core/relay/runner_crash_monitor.h"
#include "core/relay/sound_parts.h"
#include "daemon/relay/path_prober.h"
#include "daemon/relay/runner_dialer.h"
#include "ports/clock.h"

namespace workshatch::daemon {

/// Collects evidence of crashes. A runner that closes the connection of a request in progress is
/// probed with a new connection, which is refused if its process has crashed. Must be owned by a
/// shared_ptr. Lives on the relay's event loop; not safe for concurrent use.
class RunnerCrashReporter : public std::enable_shared_from_this<RunnerCrashReporter> {
public:
  /// Totals since the start of the process.
  struct Counts {
    /// Connection attempts that probe whether a runner still listens, and how many were refused.
    uint64_t probes = 0;
    uint64_t refused = 0;
    /// Times that the leader was to be notified of crashes.
    uint64_t reports = 0;
  };

  /// @param notify_leader called when there are reports for the next renewal, which should be sent
  /// without delay
  /// @param path_prober decides whether a refused connection is evidence of a crash, and then calls
  /// `recordConnectionRefused`
  RunnerCrashReporter(boost::asio::io_context& context, const Clock& clock, RunnerDialer dialer,
                      std::shared_ptr<PathProber> path_prober, std::function<void()> notify_leader)
      : context_(context), clock_(clock), dialer_(dialer), path_prober_(std::move(path_prober)),
        notify_leader_(std::move(notify_leader)) {}

  /// Records that the runner closed the connection of a request in progress, and probes the runner
  /// if necessary.
  void recordDisconnect(const relay::Runner& runner,
                        const relay::RunnerCrashMonitor::PresentRequest& present);
  /// Records that the runner's address refused a connection, and this relay's network path is not
  /// the cause. @param runner fingerprint of the runner
  void recordConnectionRefused(uint64_t runner);
  /// Records that the runner's address accepted a connection.
  void recordListening(const relay::Runner& runner);
  /// Records that a runner completed the request successfully.
  void recordCompleted(const relay::RequestIdentity& request);
  /// @return whether a runner completed the request recently.
  bool completedRecently(const relay::RequestIdentity& request);

  /// Records that a runner answered a prompt with these parts without crashing. @param began_ms
  /// when the answer began
  void recordAnswered(const std::vector<uint64_t>& parts, int64_t began_ms);
  /// Replaces the parts of prompts that the leader suspects of crashing runners.
  void setSuspects(const v1::SuspectedParts& suspects);

  /// Adds the reports that the leader does not have yet to a renewal. @param first_on_link whether
  /// the renewal is the first on its link, so that the leader may have none of the reports
  void fill(v1::LeaseRenewal& renewal, bool first_on_link);

  const Counts& counts() const { return counts_; }

private:
  http::awaitable<void> probe(relay::Runner runner);
  void notifyLeader();

  boost::asio::io_context& context_;
  const Clock& clock_;
  const RunnerDialer dialer_;
  const std::shared_ptr<PathProber> path_prober_;
  const std::function<void()> notify_leader_;
  relay::RunnerCrashMonitor monitor_;
  relay::SoundParts sound_parts_;
  Counts counts_;
};

} // namespace workshatch::daemon

/// @file
/// Tracks at one relay which runners are cold, and limits the rate of requests to them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/relay/configuration.h"
#include "core/relay/runner.h"
#include "core/scheduling/slot_rate_limiter.h"

namespace workshatch::relay {

/// Tracks cold runners. A runner is cold for some seconds after its start: its sustainable request
/// rate is low then, and it fails at a higher one. Load pattern: a third of the runners come back
/// at once, each of them the home of prompts that are waiting for it, so that all relays send
/// requests to them at the same moment.
///
/// A runner counts as cold for the time that the list states; when it is added to the list while
/// this relay runs; after its process was gone; and after an evacuation of its zone has ended. A
/// runner that fails or declines requests while it runs does not count as cold: at twice the
/// traffic and with two thirds of the engines left, an engine gets more requests per second than a
/// cold one may get, and one late response must not cost it this share.
///
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class ColdRunners {
public:
  /// @param factor, slack limit of the requests per second (settings `cold_factor` and
  /// `cold_slack`)
  ColdRunners(double factor, double slack) : factor_(factor), slack_(slack) {}

  /// Sets the services' limits for their cold runners.
  void setServices(const std::vector<Service>& services);

  /// Records that the runner was reported to be cold for another `cold_ms`.
  void recordReportedCold(Runner& runner, uint32_t cold_ms, int64_t now_ms) const;
  /// Records that the runner's process has started, or may have: the runner was added to the list,
  /// its address refused a connection, or its zone is no longer evacuated.
  void recordProcessStart(Runner& runner, int64_t now_ms) const;

  /// @return milliseconds for which the runner is still cold; zero: it is not, or its service has
  /// no limit for cold runners.
  uint32_t coldMs(const Runner& runner, int64_t now_ms) const;

  /// @return limit on the requests to a cold runner of the service; unlimited if none is
  /// configured.
  RateLimit paceLimitFor(const std::string& service) const;

private:
  struct ColdCapacity {
    int64_t cold_ms = 0;
    RateLimit pace;
  };

  const double factor_;
  const double slack_;
  /// Services with a limit for cold runners.
  std::map<std::string, ColdCapacity> services_;
};

} // namespace workshatch::relay

/// @file
/// Which runners are cold, as one relay knows it, and how many requests a cold one may get.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/relay/configuration.h"
#include "core/relay/runner.h"
#include "core/relay/slot_rate_limiter.h"

namespace workshatch::relay {

/// A runner is cold for some seconds after its start: it bears few requests a second then and falls
/// over at more. Load pattern: a third of the runners come back at once, each the home of prompts
/// that wait for it, so that all relays turn to them in the same moment.
///
/// A runner counts as cold by the list, for as long as that says; when it comes into the list while
/// this relay runs; after its process was gone; and after an evacuation of its zone has ended. One
/// that fails or declines requests while it runs is not cold: at twice the traffic and with two
/// thirds of the engines left, an engine takes more requests a second than a cold one may get, and
/// must not lose its share for one late answer.
///
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class ColdRunners {
public:
  /// @param factor, slack what bounds the requests of a second (settings `cold_factor` and
  /// `cold_slack`)
  ColdRunners(double factor, double slack) : factor_(factor), slack_(slack) {}

  /// Takes what the services say of their cold runners.
  void setServices(const std::vector<Service>& services);

  /// Notes that the list says how long the runner stays cold.
  void recordReportedCold(Runner& runner, uint32_t cold_ms, int64_t now_ms) const;
  /// Notes that the runner's process has started, or may have: it came into the list, refused a
  /// connection, or its zone is taken back into use.
  void recordProcessStart(Runner& runner, int64_t now_ms) const;

  /// Milliseconds for which the runner counts as cold; zero: it is not, or bears what a warm one
  /// does.
  uint32_t coldMs(const Runner& runner, int64_t now_ms) const;

  /// @return how many requests a cold runner of the service may get; unlimited where it is not
  /// told.
  RateLimit paceLimitFor(const std::string& service) const;

private:
  struct ColdCapacity {
    int64_t cold_ms = 0;
    RateLimit pace;
  };

  const double factor_;
  const double slack_;
  /// Services whose cold runners bear less than warm ones.
  std::map<std::string, ColdCapacity> services_;
};

} // namespace workshatch::relay

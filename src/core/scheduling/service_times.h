/// @file
/// Service times and failure rates of the plain runners whose slots one relay owns, and whether a
/// response there is expected in time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/scheduling/service_time_window.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// What the owner's configuration and runner list state about a plain runner.
struct PlainRunner {
  std::string service;
  /// Requests that the runner processes at the same time, at least 1.
  uint32_t slots = 1;
};

/// What a slot owner reports about a plain runner when it answers a claim.
struct PlainRunnerReport {
  /// Measured time for which a request uses a slot, in milliseconds; 0: not known.
  uint32_t service_time_ms = 0;
  /// Percentage of failed requests; 0 also if too few requests ended.
  uint32_t failed_percent = 0;
  /// Expected time until the end of a new request, in milliseconds; 0: not known.
  uint32_t expected_ms = 0;
  /// A request is not to be sent because its response is expected too late.
  bool late = false;
};

/// @param slots requests that the runner processes at the same time, at least 1
/// @return expected time in milliseconds of a further request at a plain runner with `load`
/// requests in progress.
double expectedServiceMs(double service_time_ms, uint32_t load, uint32_t slots);

/// Decides by service times whether plain runners get further requests.
///
/// Load pattern: some plain runners work several times slower than others, or the service gets more
/// requests than it can serve. Plain runners report no load, and each of many relays sees few of
/// their responses. A limit on the number of requests in progress fills a slow runner up to a queue
/// in which all requests are late. The owner of a runner's slots sees all its requests, and
/// measures how long one takes there.
///
/// The expected time of a new request is the service time * (1 + requests in progress / slots). A
/// runner without a service time of its own is expected to be as fast as the mean of the service's
/// other runners that are measured here, else as the runner whose service time another owner last
/// reported to this relay.
///
/// Guarantees: once a service time is known, no request that would wait in the runner's queue is
/// admitted with an expected time over its limit. An idle runner is always admitted, so that a
/// service whose limit is too short for every runner is still measured and served. A free slot is
/// refused only if another runner with as many requests in progress would respond in time.
/// Limits: a runner that ends no requests has no service time.
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class ServiceTimes {
public:
  /// Starts the measurement of a runner, unless it is being measured.
  /// @param load requests in progress there
  void measure(uint64_t runner, const PlainRunner& plain, uint32_t load, int64_t now_ms);
  /// Records the requests in progress at a runner from now on. Other runners than those being
  /// measured are ignored.
  void recordLoad(uint64_t runner, uint32_t load, int64_t now_ms);
  /// Records requests that ended, like `recordLoad`.
  void recordEnded(uint64_t runner, const v1::RunnerOutcomes& ended, int64_t now_ms);
  /// Records the service time of any runner of the service that another owner reported.
  void recordReceived(const std::string& service, uint32_t service_time_ms, int64_t now_ms);
  /// Ends the measurement of a runner.
  void drop(uint64_t runner) { runners_.erase(runner); }

  /// @return the measured service time of a runner in milliseconds; empty: not known.
  std::optional<double> measuredMs(uint64_t runner, int64_t now_ms) const;
  /// @return percentage of the requests at a runner that failed; 0 also if too few ended.
  uint32_t failedPercent(uint64_t runner, int64_t now_ms) const;
  /// @param load requests in progress at the runner
  /// @param within_ms limit of the expected time of a further request; 0: no limit
  /// @return the figures of a runner that is being measured; zeros for others.
  PlainRunnerReport report(uint64_t runner, uint32_t load, uint32_t within_ms,
                           int64_t now_ms) const;

private:
  struct Measurement {
    PlainRunner plain;
    ServiceTimeWindow window;
  };
  struct Received {
    uint32_t service_time_ms = 0;
    int64_t received_ms = 0;
  };

  std::optional<double> typicalMs(const std::string& service, uint64_t except,
                                  int64_t now_ms) const;

  /// By fingerprint of the runner's incarnation.
  std::unordered_map<uint64_t, Measurement> runners_;
  /// By service.
  std::map<std::string, Received> received_;
};

} // namespace workshatch::relay

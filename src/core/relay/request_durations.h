/// @file
/// How long the requests of each route have lasted.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace workshatch::relay {

/// Longest durations of the requests of each route in the last one to two periods.
///
/// Load: one lookup for each request that ends. Limit: the routes with requests in two periods.
/// Performs no I/O. Not safe for concurrent use. Times are milliseconds of the monotonic clock.
class RequestDurations {
public:
  static constexpr int64_t kPeriodMs = 60'000;
  /// Number of requests below which nothing is concluded.
  static constexpr uint32_t kMinRequests = 20;
  /// The next request may last longer than all of the recorded ones by this factor.
  static constexpr double kMargin = 1.5;

  /// Records a request that has ended.
  void recordEnded(const std::string& route, int64_t duration_ms, int64_t now_ms);
  /// Records that a request in progress has lasted at least this long.
  void recordInProgress(const std::string& route, int64_t duration_ms, int64_t now_ms);

  /// @param limit_ms time limit of the request
  /// @return the time within which the next request of the route is expected to end; nullopt if too
  /// few have ended, or if the recording has not lasted long enough to include requests that take
  /// as long as the limit.
  std::optional<int64_t> expectedLongestMs(const std::string& route, int64_t limit_ms,
                                           int64_t now_ms);

private:
  struct Route {
    uint32_t ended = 0;
    int64_t longest_ms = 0;
    /// When the first of the requests began.
    int64_t since_ms = 0;
  };

  Route& currentOf(const std::string& route, int64_t duration_ms, int64_t now_ms);
  void beginPeriods(int64_t now_ms);

  int64_t period_began_ms_ = 0;
  std::map<std::string, Route> current_;
  std::map<std::string, Route> previous_;
};

} // namespace workshatch::relay

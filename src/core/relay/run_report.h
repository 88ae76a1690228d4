/// @file
/// What a runner reports about its runs, and what that shows about one of them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace workshatch::relay {

/// A runner's report about its runs, as they stood up to `kMaxReportLagMs` before it was asked.
struct RunnerReport {
  /// Requests that wait there for their run to begin.
  uint32_t queued = 0;
  /// Runs in progress, also those that have not sent anything yet.
  uint32_t running = 0;
  /// Request ids of the runs in progress.
  std::vector<std::string> runs;
};

/// Longest time by which a report lags behind.
inline constexpr int64_t kMaxReportLagMs = 500;

/// Finds out from reports of a runner whether the run of one request has ended, after its
/// connection was lost. That the connection is closed does not show it.
///
/// Load pattern: a runner closes the connection of a stream and goes on with its run, or has ended
/// it; the stream must not go on at another runner in the first case.
///
/// Limits: reports do not name requests that wait for their run, so that nothing is shown about a
/// stream without events while any wait there. Failure cases: a runner that gives no report, or
/// goes on listing the run, shows no end; the caller decides how long it asks.
///
/// Guarantee: an end is shown only by a report that describes a moment after the run began and does
/// not contain it. The run began before that moment if an earlier report contained it, or if its
/// first event arrived, or the request was sent while nothing waits and all runs are named, longer
/// ago than a report lags behind.
///
/// Assumes that reports are true, and that a later one describes a later moment. Times are
/// milliseconds of the monotonic clock. Performs no I/O. Not safe for concurrent use.
class RunEndEvidence {
public:
  /// @param sent_ms when the request was sent to the runner
  /// @param began_ms when its first event was received; empty: none was
  RunEndEvidence(std::string request_id, int64_t sent_ms, std::optional<int64_t> began_ms)
      : request_id_(std::move(request_id)), sent_ms_(sent_ms), began_ms_(began_ms) {}

  /// @param asked_ms when the report was asked for
  /// @return whether the report shows that the run has ended.
  bool showsEnd(const RunnerReport& report, int64_t asked_ms);

private:
  const std::string request_id_;
  const int64_t sent_ms_;
  const std::optional<int64_t> began_ms_;
  bool was_listed_ = false;
};

} // namespace workshatch::relay

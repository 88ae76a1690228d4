/// @file
/// Reports of runners about their runs, asked for on behalf of all streams of a relay.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "daemon/relay/runner_report_call.h"
#include "ports/clock.h"

namespace workshatch::daemon {

/// Time for which a runner's report is shared, and after which a stream asks again.
inline constexpr int64_t kReportPeriodMs = 150;

/// A runner's report, or why there is none, and when it was asked for on the monotonic clock.
struct TimedReport {
  ReportResult result;
  int64_t asked_ms = 0;
};

/// Asks runners for their reports. Streams that look for the ends of their runs at one runner share
/// its calls.
///
/// Load pattern: a runner resets the connections of all its streams and lives, so that each of them
/// looks for the end of its run at the same moment.
///
/// Guarantee: at most one call to a runner is in progress, and there is none within
/// `kReportPeriodMs` after the call that brought its last report. A stream is told when the call
/// was made, which may be before it asked.
///
/// Limits: one entry for each runner asked since the last `kReportPeriodMs`. Failure cases: a call
/// that fails is shared only with the streams that wait for it, since the next process at the
/// address may answer; a stream that ends during its call leaves the others without a report, and
/// they ask again.
///
/// Lives on the relay's event loop; not safe for concurrent use.
class RunnerReports {
public:
  /// @param dialect must outlive this object, as must the overrides of `dialer` and the clock
  RunnerReports(const RelayDialect& dialect, RunnerDialer dialer, const Clock& clock)
      : call_(dialect, dialer), clock_(clock) {}

  /// @param connection a new connection for the call; closing it ends a call that is made on it
  /// @param wait limits the wait for the call of another stream; cancelling it ends the wait
  http::awaitable<TimedReport> ask(std::shared_ptr<http::RunnerConnection> connection,
                                   boost::asio::steady_timer& wait, const relay::Runner& runner);

  /// @return calls made since the start.
  uint64_t calls() const { return calls_; }

private:
  /// A call in progress, or the report that it has brought.
  struct Call;

  http::awaitable<TimedReport> awaitCall(std::shared_ptr<Call> call,
                                         boost::asio::steady_timer& wait);
  void forgetOldCalls(int64_t now_ms);

  const RunnerReportCall call_;
  const Clock& clock_;
  /// By fingerprint of the runner.
  std::map<uint64_t, std::shared_ptr<Call>> calls_by_runner_;
  uint64_t calls_ = 0;
};

} // namespace workshatch::daemon

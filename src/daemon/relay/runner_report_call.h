/// @file
/// Asks a runner for its report about its runs.
#pragma once

#include <memory>
#include <variant>

#include "adapters/http/runner_connection.h"
#include "core/relay/run_report.h"
#include "core/relay/runner.h"
#include "daemon/relay/runner_dialer.h"
#include "ports/relay_dialect.h"

namespace workshatch::daemon {

/// Why a runner has given no report.
enum class ReportFailure {
  /// Nothing listens at the address.
  Refused,
  /// The machine did not accept a connection in time.
  Unreachable,
  /// Another process is at the address.
  OtherProcess,
  /// It makes no reports that name its runs.
  NotSupported,
  /// There was no whole response in time, or one that says that there may be a report later.
  NoResponse,
};

using ReportResult = std::variant<relay::RunnerReport, ReportFailure>;

/// Asks a runner for its report on a connection of its own. Immutable; used only on one event loop.
class RunnerReportCall {
public:
  /// @param dialect must outlive the call, as must the overrides of `dialer`
  RunnerReportCall(const RelayDialect& dialect, RunnerDialer dialer)
      : dialect_(dialect), dialer_(dialer) {}

  /// @param connection a new connection; closing it ends the call
  http::awaitable<ReportResult> ask(std::shared_ptr<http::RunnerConnection> connection,
                                    const relay::Runner& runner) const;

private:
  const RelayDialect& dialect_;
  const RunnerDialer dialer_;
};

} // namespace workshatch::daemon

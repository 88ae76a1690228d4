#include "daemon/relay/runner_reports.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace workshatch::daemon {

namespace {

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
/// Longest wait for the call of another stream. A call takes a round trip unless the runner stands
/// still.
constexpr std::chrono::milliseconds kSharedCallWait{300};

} // namespace

struct RunnerReports::Call {
  int64_t asked_ms = 0;
  /// Empty while the call is in progress.
  std::optional<ReportResult> result;
  /// Timers of the streams that wait for the call. Not owned; each stream removes its own.
  std::vector<boost::asio::steady_timer*> waiting;

  /// @return whether a stream that asks now shares this call.
  bool isShared(int64_t now_ms) const {
    return !result || (std::holds_alternative<relay::RunnerReport>(*result) &&
                       now_ms - asked_ms < kReportPeriodMs);
  }
};

http::awaitable<TimedReport> RunnerReports::ask(std::shared_ptr<http::RunnerConnection> connection,
                                                boost::asio::steady_timer& wait,
                                                const relay::Runner& runner) {
  const int64_t now_ms = clock_.monotonicMs();
  forgetOldCalls(now_ms);
  const auto shared = calls_by_runner_.find(runner.fingerprint);
  if (shared != calls_by_runner_.end()) {
    co_return co_await awaitCall(shared->second, wait);
  }
  const auto call = std::make_shared<Call>();
  call->asked_ms = now_ms;
  calls_by_runner_[runner.fingerprint] = call;
  ++calls_;
  ReportResult result = co_await call_.ask(std::move(connection), runner);
  call->result = result;
  for (boost::asio::steady_timer* timer : call->waiting) {
    timer->cancel();
  }
  co_return TimedReport{.result = std::move(result), .asked_ms = now_ms};
}

/// @return the result of the call; `NoResponse` if the wait was cancelled or took too long.
http::awaitable<TimedReport> RunnerReports::awaitCall(std::shared_ptr<Call> call,
                                                      boost::asio::steady_timer& wait) {
  if (!call->result) {
    call->waiting.push_back(&wait);
    wait.expires_after(kSharedCallWait);
    co_await wait.async_wait(kAwait);
    std::erase(call->waiting, &wait);
  }
  ReportResult result = call->result.value_or(ReportFailure::NoResponse);
  co_return TimedReport{.result = std::move(result), .asked_ms = call->asked_ms};
}

/// Removes the calls that are not shared any more.
void RunnerReports::forgetOldCalls(int64_t now_ms) {
  std::erase_if(calls_by_runner_,
                [now_ms](const auto& entry) { return !entry.second->isShared(now_ms); });
}

} // namespace workshatch::daemon

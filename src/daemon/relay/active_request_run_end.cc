/// @file
/// What shows that the run of a stream has ended, after its attempt was given up or its connection
/// was lost: only then may the stream go on at another runner.
#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "adapters/logging/line_log.h"
#include "daemon/relay/active_request.h"
#include "daemon/relay/runner_reports.h"

namespace workshatch::daemon {

namespace {

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
/// Longest wait for a runner to close the connection of a run that it is told to end, and for its
/// machine to accept a connection. Both take a round trip unless the runner stands still.
constexpr std::chrono::milliseconds kRunEndWait{300};
/// Time for which the end of a run is looked for. Callers give a stream up after two seconds
/// without an event, and its next runner needs some of that.
constexpr int64_t kRunEndSearchMs = 1000;

} // namespace

/// Whether a runner's machine responds to a connection attempt; shared with the coroutine that
/// makes it. Used only where the system does not tell whether the machine acknowledges what is
/// sent: one whose process stands still drops new connections after some time. A machine that
/// refuses the attempt responds: a process that has ended would have closed the connection of the
/// request too.
struct ActiveRequest::ReachProbe {
  bool responded = false;
  std::shared_ptr<http::RunnerConnection> connection;
};

/// Tells a silent runner that its run is not wanted any more, and waits for a sign that it has
/// ended, or that the runner's machine is out of reach. A runner that goes on with its response
/// keeps the request.
http::awaitable<relay::RunEnd> ActiveRequest::findRunEnd(const relay::Runner& runner) {
  if (runner.gone) {
    co_return relay::RunEnd::ProcessEnded;
  }
  const bool system_tells = connection_->allAcknowledged().has_value();
  const auto probe = system_tells ? nullptr : probeReach(runner);
  connection_->endSending();
  const auto state = co_await connection_->awaitProgress(kRunEndWait);
  if (probe) {
    probe->connection->close();
  }
  if (state == http::ConnectionState::ClosedByPeer) {
    co_return co_await searchRunEnd(runner);
  }
  if (state) {
    co_return state == http::ConnectionState::PeerUnreachable ? relay::RunEnd::OutOfReach
                                                              : relay::RunEnd::Unknown;
  }
  const bool in_reach = probe ? probe->responded : connection_->allAcknowledged().value_or(true);
  co_return in_reach ? relay::RunEnd::Unknown : relay::RunEnd::OutOfReach;
}

/// Begins to open a connection to the runner.
std::shared_ptr<ActiveRequest::ReachProbe>
ActiveRequest::probeReach(const relay::Runner& runner) const {
  auto probe = std::make_shared<ReachProbe>();
  probe->connection = std::make_shared<http::RunnerConnection>(context_);
  const RunnerDialer dialer(state_.runner_addresses);
  boost::asio::co_spawn(
      context_,
      [probe, dialer, address = runner.entry.address()]() -> http::awaitable<void> {
        const auto error = co_await dialer.dial(probe->connection, address, kRunEndWait);
        probe->connection->close();
        probe->responded = !error || error->refused;
      },
      boost::asio::detached);
  return probe;
}

/// After an attempt without a complete response, looks for the end of its run, if the stream may go
/// on elsewhere then.
http::awaitable<relay::RunEnd> ActiveRequest::awaitRunEnd(const relay::Runner& runner) {
  const bool streaming = request_.route->kind == relay::RouteKind::Streaming;
  if (!streaming || run_end_searched_ || !mayMoveOn() || interrupted() || !holdRetry()) {
    co_return relay::RunEnd::Unknown;
  }
  const auto state = co_await connection_->discardUntilClosed(kRunEndWait);
  if (state == http::ConnectionState::PeerUnreachable) {
    co_return relay::RunEnd::OutOfReach;
  }
  co_return co_await searchRunEnd(runner);
}

/// Asks the runner for its runs until one of its reports shows that the run has ended, or until the
/// time for it is over. The connection of the request, on which nothing more is sent, is closed
/// afterwards.
///
/// Load: one report at once and one every `kReportPeriodMs` for each stream that has lost its
/// connection; the streams of one runner share them (`RunnerReports`). A runner whose process has
/// ended refuses the first call.
http::awaitable<relay::RunEnd> ActiveRequest::searchRunEnd(const relay::Runner& runner) {
  run_end_searched_ = true;
  const int64_t began_ms = state_.clock.monotonicMs();
  relay::RunEndEvidence evidence(request_.id, sent_ms_,
                                 answer_began_ms_ == 0 ? std::nullopt
                                                       : std::optional(answer_began_ms_));
  uint32_t reports = 0;
  std::optional<relay::RunEnd> end;
  while (!end) {
    end = co_await askForRunEnd(runner, evidence);
    ++reports;
    const int64_t left_ms = began_ms + kRunEndSearchMs - state_.clock.monotonicMs();
    if (!end && (left_ms <= 0 || interrupted())) {
      end = relay::RunEnd::Unknown;
    }
    if (!end) {
      wait_.expires_after(std::chrono::milliseconds(std::min(kReportPeriodMs, left_ms)));
      co_await wait_.async_wait(kAwait);
    }
  }
  connection_->close();
  ++state_.stats.run_ends[nameOf(*end)];
  line_log::write("run_end_searched", {{"request", request_.id},
                                       {"runner", runner.entry.id()},
                                       {"run_end", nameOf(*end)},
                                       {"reports", reports},
                                       {"ms", state_.clock.monotonicMs() - began_ms}});
  co_return *end;
}

/// @return whether the process of a runner that refuses a connection may be alive: it has not
/// closed all of the connections that this relay has to it, as the end of a process does.
bool ActiveRequest::mayBeAlive(const relay::Runner& runner) {
  const auto servedThere = [&](ActiveRequest* other) {
    return other->attempt_address_ == runner.entry.address() && other->connection_ &&
           other->connection_->isOpen();
  };
  return !connection_->closedWholly() || state_.connections.hasOpen(runner.entry.address()) ||
         std::any_of(state_.active_requests.begin(), state_.active_requests.end(), servedThere);
}

/// @return what the runner's next report, or its refusal of a connection, shows; nullopt: ask
/// again.
http::awaitable<std::optional<relay::RunEnd>>
ActiveRequest::askForRunEnd(const relay::Runner& runner, relay::RunEndEvidence& evidence) {
  if (runner.gone) {
    co_return relay::RunEnd::ProcessEnded;
  }
  report_connection_ = std::make_shared<http::RunnerConnection>(context_);
  const TimedReport reply = co_await state_.runner_reports.ask(report_connection_, wait_, runner);
  report_connection_->close();
  if (const auto* report = std::get_if<relay::RunnerReport>(&reply.result)) {
    co_return evidence.showsEnd(*report, reply.asked_ms) ? std::optional(relay::RunEnd::NotReported)
                                                         : std::nullopt;
  }
  switch (std::get<ReportFailure>(reply.result)) {
  case ReportFailure::Refused:
    if (mayBeAlive(runner)) {
      co_return std::nullopt;
    }
    recordConnectFailed(runner, true, reply.asked_ms);
    co_return relay::RunEnd::ProcessEnded;
  case ReportFailure::Unreachable:
    // A network path that is lost may reset connections. A runner that has closed the connection in
    // order was in reach then.
    co_return connection_->wasReset() ? std::optional(relay::RunEnd::OutOfReach) : std::nullopt;
  case ReportFailure::OtherProcess:
    co_return relay::RunEnd::ProcessEnded;
  case ReportFailure::NotSupported:
    co_return relay::RunEnd::Unknown;
  case ReportFailure::NoResponse:
    break;
  }
  co_return std::nullopt;
}

} // namespace workshatch::daemon

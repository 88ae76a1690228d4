#include "daemon/relay/runner_crash_reporter.h"

#include <chrono>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "adapters/http/runner_connection.h"

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

/// An address without a listener refuses a connection within one round trip. A connection attempt
/// without a response is no evidence of a crash, so there is no point in waiting longer.
constexpr std::chrono::milliseconds kProbeTimeout{300};

} // namespace

void RunnerCrashReporter::recordDisconnect(
    const relay::Runner& runner, const relay::RunnerCrashMonitor::PresentRequest& present) {
  using AfterDisconnect = relay::RunnerCrashMonitor::AfterDisconnect;
  const AfterDisconnect next =
      monitor_.recordDisconnect(runner.fingerprint, present, clock_.monotonicMs());
  if (next == AfterDisconnect::Report) {
    notifyLeader();
  }
  if (next != AfterDisconnect::Probe) {
    return;
  }
  asio::co_spawn(
      context_, [self = shared_from_this(), probed = runner] { return self->probe(probed); },
      asio::detached);
}

http::awaitable<void> RunnerCrashReporter::probe(relay::Runner runner) {
  ++counts_.probes;
  const int64_t began_ms = clock_.monotonicMs();
  const auto connection = std::make_shared<http::RunnerConnection>(context_);
  const auto error = co_await dialer_.dial(connection, runner.entry.address(), kProbeTimeout);
  connection->close();
  if (!error) {
    recordListening(runner);
    co_return;
  }
  counts_.refused += error->refused ? 1 : 0;
  if (path_prober_) {
    path_prober_->recordConnectFailed(runner, error->refused, began_ms);
  } else if (error->refused) {
    recordConnectionRefused(runner.fingerprint);
  }
}

void RunnerCrashReporter::recordConnectionRefused(uint64_t runner) {
  if (monitor_.recordConnectionRefused(runner, clock_.monotonicMs())) {
    notifyLeader();
  }
}

void RunnerCrashReporter::notifyLeader() {
  ++counts_.reports;
  notify_leader_();
}

void RunnerCrashReporter::recordListening(const relay::Runner& runner) {
  for (const auto& completed : monitor_.recordListening(runner.fingerprint)) {
    recordCompleted(completed.request);
    if (*completed.answer_began_ms != 0) {
      recordAnswered(completed.parts, *completed.answer_began_ms);
    }
  }
}

void RunnerCrashReporter::recordCompleted(const relay::RequestIdentity& request) {
  monitor_.recordCompleted(request, clock_.monotonicMs());
}

bool RunnerCrashReporter::completedRecently(const relay::RequestIdentity& request) {
  return monitor_.completedRecently(request, clock_.monotonicMs());
}

void RunnerCrashReporter::recordAnswered(const std::vector<uint64_t>& parts, int64_t began_ms) {
  if (sound_parts_.record(parts, began_ms)) {
    notify_leader_();
  }
}

void RunnerCrashReporter::setSuspects(const v1::SuspectedParts& suspects) {
  if (sound_parts_.setSuspects(suspects, clock_.monotonicMs())) {
    notify_leader_();
  }
}

void RunnerCrashReporter::fill(v1::LeaseRenewal& renewal, bool first_on_link) {
  monitor_.fill(renewal, first_on_link, clock_.monotonicMs());
  sound_parts_.fill(renewal, first_on_link, clock_.monotonicMs());
}

} // namespace workshatch::daemon

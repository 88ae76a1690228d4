#include "daemon/relay/path_prober.h"

#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "adapters/logging/line_log.h"

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

/// As long as requests wait for a connection to a runner.
constexpr std::chrono::milliseconds kProbeTimeout{300};

} // namespace

void PathProber::recordConnected(const relay::Runner& runner) {
  paths_.recordConnected(runner, clock_.monotonicMs());
  reportEnded();
}

void PathProber::recordConnectFailed(const relay::Runner& runner, bool refused, int64_t began_ms) {
  paths_.recordConnectFailed(runner, refused, began_ms);
  reportEnded();
  tick();
}

void PathProber::tick() {
  for (const std::string& service : paths_.dueRounds(clock_.monotonicMs())) {
    begin(service);
  }
}

void PathProber::begin(const std::string& service) {
  const auto chosen =
      paths_.beginRound(service, runners_.runnersOf(service), random_.next(), clock_.monotonicMs());
  const auto round = std::make_shared<Round>(Round{.service = service, .pending = chosen.size()});
  if (chosen.empty()) {
    end(*round, false);
    return;
  }
  for (const auto& runner : chosen) {
    asio::co_spawn(
        context_, [self = shared_from_this(), round, runner] { return self->probe(round, runner); },
        asio::detached);
  }
}

http::awaitable<void> PathProber::probe(std::shared_ptr<Round> round,
                                        std::shared_ptr<relay::Runner> runner) {
  ++counts_.probes;
  const int64_t began_ms = clock_.monotonicMs();
  const auto connection = std::make_shared<http::RunnerConnection>(context_);
  const auto error = co_await dialer_.dial(connection, runner->entry.address(), kProbeTimeout);
  connection->close();
  --round->pending;
  if (!error) {
    paths_.recordConnected(*runner, clock_.monotonicMs());
    end(*round, true);
    co_return;
  }
  ++counts_.probes_failed;
  paths_.recordConnectFailed(*runner, error->refused, began_ms);
  if (round->pending == 0) {
    end(*round, false);
  }
}

/// Ends a round unless it has ended: the first runner that accepts a connection ends it.
void PathProber::end(Round& round, bool reached) {
  if (std::exchange(round.ended, true)) {
    return;
  }
  using Change = relay::RunnerPaths::Change;
  const int64_t lost_ms = lostForMs(round.service);
  const Change change = paths_.endRound(round.service, reached, clock_.monotonicMs());
  reportEnded();
  if (!reached && paths_.hasUnexplainedRefusals(round.service)) {
    explainRefusals(round.service);
  }
  if (change == Change::None) {
    return;
  }
  const bool lost = change == Change::Lost;
  counts_.paths_lost += lost ? 1 : 0;
  line_log::write(
      lost ? "path_lost" : "path_restored",
      {{"service", round.service},
       {"heard_ms", runners_.evidenceOf(round.service, clock_.monotonicMs()).heard_ago_ms},
       {"lost_ms", lost_ms}});
  observer_.changed(round.service, lost);
}

/// Finds out by a runner of another service whether runners that refused connections have ended.
/// Without any such runner they are taken to have ended.
void PathProber::explainRefusals(const std::string& service) {
  const auto outside = runners_.heardLastOutside(service);
  if (!outside) {
    paths_.explainRefusals(service);
    reportEnded();
    return;
  }
  asio::co_spawn(
      context_,
      [self = shared_from_this(), service, address = outside->entry.address()] {
        return self->probeOutside(service, address);
      },
      asio::detached);
}

http::awaitable<void> PathProber::probeOutside(std::string service, std::string address) {
  ++counts_.probes;
  const auto connection = std::make_shared<http::RunnerConnection>(context_);
  const auto error = co_await dialer_.dial(connection, std::move(address), kProbeTimeout);
  connection->close();
  if (error) {
    ++counts_.probes_failed;
    co_return;
  }
  paths_.explainRefusals(service);
  reportEnded();
}

void PathProber::reportEnded() {
  for (const uint64_t runner : paths_.takeEnded()) {
    observer_.ended(runner);
  }
}

} // namespace workshatch::daemon

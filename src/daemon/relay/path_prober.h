/// @file
/// Probes runners to find out whether this relay has a network path to them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "core/relay/runner_paths.h"
#include "core/relay/runner_table.h"
#include "daemon/relay/runner_dialer.h"
#include "ports/clock.h"
#include "ports/random.h"

namespace workshatch::daemon {

/// Runs the rounds of probes of `relay::RunnerPaths`. A probe opens a connection and closes it.
/// Must be owned by a shared_ptr. Lives on the relay's event loop; not safe for concurrent use.
class PathProber : public std::enable_shared_from_this<PathProber> {
public:
  /// Totals since the start of the process.
  struct Counts {
    uint64_t probes = 0;
    uint64_t probes_failed = 0;
    uint64_t paths_lost = 0;
  };

  /// Callbacks of the relay role.
  struct Observer {
    /// The path to the runners of a service was lost or restored.
    std::function<void(const std::string& service, bool lost)> changed;
    /// The process of a runner has ended: it refused a connection although other runners accept
    /// them.
    std::function<void(uint64_t runner)> ended;
  };

  /// @param runners, clock, random must outlive the prober
  PathProber(boost::asio::io_context& context, const Clock& clock, Random& random,
             RunnerDialer dialer, const relay::RunnerTable& runners, Observer observer)
      : context_(context), clock_(clock), random_(random), dialer_(dialer), runners_(runners),
        observer_(std::move(observer)) {}

  /// Records the result of a connection attempt of a request.
  void recordConnected(const relay::Runner& runner);
  /// @param refused the runner's address refused the connection
  /// @param began_ms when the attempt began
  void recordConnectFailed(const relay::Runner& runner, bool refused, int64_t began_ms);
  /// Records that a request in progress at a runner of the service has heard nothing for long.
  void recordSilence(const std::string& service) { paths_.recordSilence(service); }

  /// Starts the rounds that are due. To be called often.
  void tick();

  bool isLost(const std::string& service) const { return paths_.isLost(service); }
  /// @return milliseconds for which the path to the service has been lost; 0: it is not lost.
  int64_t lostForMs(const std::string& service) const {
    return paths_.lostForMs(service, clock_.monotonicMs());
  }
  std::vector<std::string> lostServices() const { return paths_.lostServices(); }
  const Counts& counts() const { return counts_; }

private:
  /// One round of probes, shared by them.
  struct Round {
    std::string service;
    size_t pending = 0;
    bool ended = false;
  };

  void begin(const std::string& service);
  http::awaitable<void> probe(std::shared_ptr<Round> round, std::shared_ptr<relay::Runner> runner);
  void end(Round& round, bool reached);
  void explainRefusals(const std::string& service);
  http::awaitable<void> probeOutside(std::string service, std::string address);
  void reportEnded();

  boost::asio::io_context& context_;
  const Clock& clock_;
  Random& random_;
  const RunnerDialer dialer_;
  const relay::RunnerTable& runners_;
  const Observer observer_;
  relay::RunnerPaths paths_;
  Counts counts_;
};

} // namespace workshatch::daemon

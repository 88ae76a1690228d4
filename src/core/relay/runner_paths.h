/// @file
/// Whether this machine has a network path to the runners of each service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/relay/runner.h"

namespace workshatch::relay {

/// Distinguishes a relay that lost its path to the runners from runners that failed.
///
/// Load pattern: a network fault separates some relays from all runners of one or more services,
/// while callers, the group and the other relays still reach them. Connections hang, are reset or
/// are refused, or open ones go on while new ones fail. Each failure by itself looks like that of a
/// runner. If relays take it for one, they try one runner after another, and what they report makes
/// the other relays avoid runners that are well.
///
/// A failed connection attempt is evidence against its runner only if another runner of the service
/// accepted a connection after it began. So after a failure, or if requests in progress hear
/// nothing, those runners of the service that were heard last are probed with new connections. If
/// no runner accepts one, the path to the service is lost. While it is lost, runners are probed
/// periodically, and the first one that accepts a connection restores the path.
///
/// A runner that refused a connection has ended if another runner accepts one, also one of another
/// service if its own service has none left.
///
/// Guarantee: while at least one of the runners that were heard last accepts connections, the path
/// is not lost. Whether all runners of a service failed or this machine lost its path to them can't
/// be told here; other relays can tell.
///
/// Times are milliseconds of the monotonic clock. Performs no I/O. Not safe for concurrent use.
class RunnerPaths {
public:
  using Runners = std::vector<std::shared_ptr<Runner>>;

  enum class Change { None, Lost, Restored };

  /// Records that a new connection to the runner came up.
  void recordConnected(const Runner& runner, int64_t now_ms);
  /// Records that a new connection to the runner did not come up.
  /// @param refused the runner's address refused it
  /// @param began_ms when the attempt began
  void recordConnectFailed(const Runner& runner, bool refused, int64_t began_ms);
  /// Records that a request in progress at a runner of the service has heard nothing for long.
  void recordSilence(const std::string& service);

  bool isLost(const std::string& service) const;
  /// @return milliseconds for which the path to the service has been lost; 0: it is not lost.
  int64_t lostForMs(const std::string& service, int64_t now_ms) const;
  /// @return the services to which the path is lost.
  std::vector<std::string> lostServices() const;

  /// @return the services for which a round of probes is due. Each must be followed by
  /// `beginRound`.
  std::vector<std::string> dueRounds(int64_t now_ms) const;
  /// Begins a round of probes of a service.
  /// @param runners all runners of the service
  /// @param draw random number that spreads the probes of many relays over time and over runners
  /// @return the runners to probe; if there are none, the round has ended.
  Runners beginRound(const std::string& service, const Runners& runners, uint64_t draw,
                     int64_t now_ms);
  /// Ends the round of probes of a service. @param reached whether a runner accepted a connection
  Change endRound(const std::string& service, bool reached, int64_t now_ms);

  /// @return whether runners of the service refused connections, and it is not known why.
  bool hasUnexplainedRefusals(const std::string& service) const;
  /// Records that a runner of another service accepted a connection: the runners that refused one
  /// have ended.
  void explainRefusals(const std::string& service);
  /// Removes and returns the fingerprints of the runners that refused a connection although there
  /// is a path to other runners, so that their processes have ended.
  std::vector<uint64_t> takeEnded();

private:
  struct Service {
    /// Runners whose connection attempts failed since another runner accepted one.
    std::set<uint64_t> failed;
    /// Those of them that refused the connection.
    std::set<uint64_t> refused;
    /// When a runner last accepted a connection, and which one.
    int64_t connected_ms = 0;
    uint64_t connected_runner = 0;
    /// Requests in progress have heard nothing for long since the last round.
    bool silent = false;
    bool round_in_progress = false;
    int64_t next_round_ms = 0;
    /// Earliest time of the next round that only silence asks for.
    int64_t next_silence_round_ms = 0;
    /// Number of runners that can be probed, as of the present round.
    size_t runners = 0;
    /// When the path was lost; empty: it is not.
    std::optional<int64_t> lost_ms;
  };

  void confirmFailures(const std::string& name);
  static Runners heardLast(Runners candidates);

  std::map<std::string, Service> services_;
  std::vector<uint64_t> ended_;
};

} // namespace workshatch::relay

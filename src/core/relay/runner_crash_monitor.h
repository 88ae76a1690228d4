/// @file
/// Which requests were in progress at runners whose processes ended, as one relay sees it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/relay/completed_requests.h"
#include "core/relay/request_identity.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Tells runners that ended from runners that only broke an answer off.
///
/// A runner whose process ends cuts all its connections, and its address then refuses new ones. A
/// runner that spoils or breaks off an answer goes on listening; a machine without power, or behind
/// a cut, says nothing at all. So a request is said to have been there when a runner ended only
/// where both were seen close together: its connection was cut, and the address refused another.
/// Requests that ran whole lately are never reported.
///
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class RunnerCrashMonitor {
public:
  /// A request in progress at a runner whose process ended.
  struct Report {
    RequestIdentity request;
    /// Fingerprint of the runner's life.
    uint64_t runner = 0;
    int64_t crashed_ms = 0;
  };

  /// What is to be done next about a cut.
  enum class AfterDisconnect {
    Nothing,
    /// It shall be found out now if the runner's address still takes connections.
    Probe,
    /// There is something to report.
    Report,
  };

  /// Notes that the runner cut the connection of a request in progress.
  AfterDisconnect recordDisconnect(uint64_t runner, const RequestIdentity& request, int64_t now_ms);

  /// Notes that the runner's address refused a connection.
  /// @return whether there is something to report.
  bool recordConnectionRefused(uint64_t runner, int64_t now_ms);

  /// Notes that the runner's address took a connection: its process has not ended.
  void recordListening(uint64_t runner);

  void recordCompleted(const RequestIdentity& request, int64_t now_ms) {
    completed_.record(request, now_ms);
  }
  bool completedRecently(const RequestIdentity& request, int64_t now_ms) {
    return completed_.contains(request, now_ms);
  }

  /// Adds to a renewal what the leader has not been told.
  /// @param first_on_link the leader may be another one, that has been told nothing
  void fill(v1::LeaseRenewal& renewal, bool first_on_link, int64_t now_ms);

private:
  struct Disconnect {
    RequestIdentity request;
    int64_t disconnected_ms = 0;
  };
  struct Suspect {
    /// Cuts of which it is not known whether the runner ended.
    std::vector<Disconnect> disconnects;
    /// When the address last refused a connection; empty: not lately.
    std::optional<int64_t> refused_ms;
    /// When it was last looked at; empty: never.
    std::optional<int64_t> probed_ms;
  };

  void report(uint64_t runner, const Disconnect& disconnect);
  void dropExpired(int64_t now_ms);

  CompletedRequests completed_;
  /// By fingerprint of the runner's life.
  std::map<uint64_t, Suspect> suspects_;
  /// Oldest first.
  std::deque<Report> reports_;
  /// The last so many of `reports_` were not told on the present link.
  size_t unreported_ = 0;
};

} // namespace workshatch::relay

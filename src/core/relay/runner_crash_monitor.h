/// @file
/// Detects at one relay which requests were in progress at a runner whose process crashed.
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

/// Distinguishes runners that crashed from runners that only broke off a response.
///
/// When a runner's process ends, all its connections are closed, and its address refuses new ones.
/// A runner that breaks off or corrupts a response keeps listening. A machine that lost power or
/// its network sends nothing at all. A request is therefore reported as present at a crash only if
/// both were observed within a short time: its connection was closed, and the address refused
/// another one. Requests that completed recently are reported for the parts of their prompts only.
///
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class RunnerCrashMonitor {
public:
  /// A request that was in progress at a runner.
  struct PresentRequest {
    RequestIdentity request;
    /// Fingerprints of the shared parts of its prompt; empty if none of them can have crashed the
    /// runner, which had been answering the request for a while.
    std::vector<uint64_t> parts;
    /// When the answer began, if it looks complete although the connection was closed; zero if it
    /// was no success. The request has completed if the runner still listens.
    std::optional<int64_t> answer_began_ms;
  };

  /// A request that was in progress at a runner whose process crashed.
  struct Report {
    /// Empty: the request completed recently, but its parts may have crashed the runner.
    std::optional<RequestIdentity> request;
    std::vector<uint64_t> parts;
    /// Fingerprint of the runner's incarnation.
    uint64_t runner = 0;
    int64_t crashed_ms = 0;
  };

  /// What the caller is to do after a disconnect.
  enum class AfterDisconnect {
    Nothing,
    /// Probe now whether the runner's address still accepts connections.
    Probe,
    /// Send the new report to the leader.
    Report,
  };

  /// Records that the runner closed the connection of a request in progress.
  AfterDisconnect recordDisconnect(uint64_t runner, const PresentRequest& present, int64_t now_ms);

  /// Records that the runner's address refused a connection.
  /// @return whether there is a new report for the leader.
  bool recordConnectionRefused(uint64_t runner, int64_t now_ms);

  /// Records that the runner's address accepted a connection: its process has not ended.
  /// @return the requests that have completed, since only the end of their connection was in doubt.
  std::vector<PresentRequest> recordListening(uint64_t runner);

  void recordCompleted(const RequestIdentity& request, int64_t now_ms) {
    completed_.record(request, now_ms);
  }
  bool completedRecently(const RequestIdentity& request, int64_t now_ms) {
    return completed_.contains(request, now_ms);
  }

  /// Adds to a lease renewal the reports that the leader has not received.
  /// @param first_on_link this is the first renewal on a link, so that the leader may be a new one,
  /// without any reports
  void fill(v1::LeaseRenewal& renewal, bool first_on_link, int64_t now_ms);

private:
  struct Disconnect {
    PresentRequest present;
    /// The request itself completed recently at another time.
    bool completed = false;
    int64_t disconnected_ms = 0;
  };
  struct Suspect {
    /// Disconnects for which it is unknown whether the runner crashed.
    std::vector<Disconnect> disconnects;
    /// When the address last refused a connection; empty: not recently.
    std::optional<int64_t> refused_ms;
    /// When the address was last probed; empty: not recently.
    std::optional<int64_t> probed_ms;
  };

  void report(uint64_t runner, const Disconnect& disconnect);
  void dropExpired(int64_t now_ms);

  CompletedRequests completed_;
  /// By fingerprint of the runner's incarnation.
  std::map<uint64_t, Suspect> suspects_;
  /// Oldest first.
  std::deque<Report> reports_;
  /// Number of reports at the end of `reports_` that were not sent on the present link.
  size_t unreported_ = 0;
};

} // namespace workshatch::relay

/// @file
/// Counts the runner crashes during each request, and selects the requests to put into quarantine.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/relay/request_identity.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Runner crashes that relays report to the leader.
///
/// Load pattern: a request that crashes each runner which begins to run it is sent several times a
/// second, at any relay, under new ids. Each crash also interrupts the ten or so requests that run
/// beside it, whose callers retry and may be present at the next crash. No relay sees more than one
/// or two of the crashes, so they are counted in one place: at the leader, to which every relay
/// with a valid lease has a link.
///
/// A request is put into quarantine after `kCrashesForQuarantine` crashes, if no other request was
/// running at all of them too. Otherwise the next crash distinguishes the requests; after
/// `kCrashesWithoutComparison` crashes all of them are put into quarantine. Crashes at which a
/// request in quarantine was running are not held against any other request. A request that
/// completes is cleared of all its crashes so far.
///
/// Guarantee: a request is put into quarantine only for crashes of different runners, or of one
/// runner at different times. The counts are not stored, because the relays report the crashes
/// again to a new leader; the list of requests in quarantine is kept in the replicated log. Times
/// are milliseconds of the monotonic clock. Not safe for concurrent use.
class RunnerCrashCounts {
public:
  static constexpr size_t kCrashesForQuarantine = 3;
  static constexpr size_t kCrashesWithoutComparison = 5;

  /// Adds the reports of a relay's lease renewal. Repeated reports have no effect.
  void addReport(const v1::LeaseRenewal& renewal, int64_t now_ms);

  /// Sets the list of requests that are in quarantine.
  void setQuarantine(const v1::QuarantineList& list) { quarantine_ = list; }

  /// @param wall_ms wall time, milliseconds since the epoch
  /// @return orders to be given now. An order that does not take effect is returned again later.
  std::vector<v1::QuarantineOrder> dueOrders(int64_t now_ms, uint64_t wall_ms);

  /// Number of requests with counted crashes.
  size_t requestCount() const { return requests_.size(); }

private:
  /// Crash of one runner's process.
  struct Crash {
    uint64_t runner = 0;
    int64_t crashed_ms = 0;
    /// The request in quarantine that was running there; empty: none is known.
    std::optional<RequestIdentity> cause;
  };
  struct RequestCrashes {
    /// Numbers of the crashes at which the request was running.
    std::set<uint64_t> crashes;
    /// When the last of them was first reported.
    int64_t last_report_ms = 0;
  };

  struct Culprit {
    RequestIdentity request;
    /// Number of crashes held against the request.
    uint32_t crashes = 0;
  };

  uint64_t crashNumberFor(uint64_t runner, int64_t crashed_ms);
  void addCrash(const v1::RunnerEnd& report, int64_t now_ms);
  void addCompleted(const RequestIdentity& request, int64_t now_ms);
  using CrashSet = std::set<uint64_t>;
  CrashSet crashesHeldAgainst(const RequestIdentity& request) const;
  bool isOnlyCommonRequest(const RequestIdentity& request, const CrashSet& crashes) const;
  void evictOne();
  bool inQuarantine(const RequestIdentity& request) const;
  bool isDue(int64_t now_ms) const;
  bool isSuspect(const RequestIdentity& request, const RequestCrashes& counted) const;
  bool waitsForReports(int64_t now_ms) const;
  std::vector<Culprit> findCulprits(int64_t now_ms) const;
  void setCause(const RequestIdentity& request);
  void dropExpired(int64_t now_ms);
  void addReleases(std::vector<v1::QuarantineOrder>& orders, int64_t now_ms, uint64_t wall_ms);

  v1::QuarantineList quarantine_;
  /// By number.
  std::map<uint64_t, Crash> crashes_;
  uint64_t next_crash_ = 1;
  std::map<RequestIdentity, RequestCrashes> requests_;
  /// Completed requests, and when that was reported.
  std::map<RequestIdentity, int64_t> completed_;
  /// When the release of a request was last ordered.
  std::map<RequestIdentity, int64_t> released_ms_;
  /// When the reports since the last evaluation are evaluated; empty: there were none. Later
  /// reports do not move this time, so that a steady flow of them does not delay the evaluation.
  std::optional<int64_t> reports_due_ms_;
  /// When the counts are next evaluated if there are no reports.
  int64_t next_check_ms_ = 0;
};

} // namespace workshatch::relay

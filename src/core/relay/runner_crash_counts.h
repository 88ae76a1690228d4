/// @file
/// Counts under which requests runners ended, and says which of them to put into quarantine.
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

/// The leader's count of the ends of runners that relays report.
///
/// Load pattern: a request that ends each runner which begins to run it comes several times a
/// second, at any relay, under new ids. Each end also cuts the ten or so requests that run beside
/// it, whose callers try again and may meet the next end. No relay sees more than one or two of the
/// ends, so one place counts them all: the leader, whom each relay that may serve has a link to.
///
/// A request is put into quarantine after `kCrashesForQuarantine` ends, if no other request was
/// running at all of them too; where one was, the next end tells the two apart, and after
/// `kCrashesWithoutComparison` both are put there. CrashSet at which a request in quarantine was
/// running are held against no other. A request that ran whole is cleared of all ends so far.
///
/// Guarantee: a request is put into quarantine only for ends of different runners, or of one at
/// different times. What is counted here may be learned again from the relays; what is in
/// quarantine is kept in the replicated log.
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class RunnerCrashCounts {
public:
  static constexpr size_t kCrashesForQuarantine = 3;
  static constexpr size_t kCrashesWithoutComparison = 5;

  /// Takes what a relay tells with a renewal; what was told before changes nothing.
  void addReport(const v1::LeaseRenewal& renewal, int64_t now_ms);

  /// Notes which requests are in quarantine now.
  void setQuarantine(const v1::QuarantineList& list) { quarantine_ = list; }

  /// @param wall_ms wall time, milliseconds since the epoch
  /// @return orders to be given now. One that does not come into force is returned again later.
  std::vector<v1::QuarantineOrder> dueOrders(int64_t now_ms, uint64_t wall_ms);

  /// Requests that are counted.
  size_t requestCount() const { return requests_.size(); }

private:
  /// One runner's process that ended.
  struct Crash {
    uint64_t runner = 0;
    int64_t crashed_ms = 0;
    /// The request in quarantine that was running there; empty: none is known.
    std::optional<RequestIdentity> cause;
  };
  struct RequestCrashes {
    /// Numbers of the ends at which it was running.
    std::set<uint64_t> crashes;
    /// When the last of them was told first.
    int64_t last_report_ms = 0;
  };

  struct Culprit {
    RequestIdentity request;
    /// CrashSet held against it.
    uint32_t crashes = 0;
  };

  uint64_t crashNumberFor(uint64_t runner, int64_t crashed_ms);
  void addCrash(const v1::RunnerEnd& told, int64_t now_ms);
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
  /// Requests that ran whole, and when that was told.
  std::map<RequestIdentity, int64_t> completed_;
  /// When a release was last ordered.
  std::map<RequestIdentity, int64_t> released_ms_;
  /// When the counts are looked at for what was told since the last look; empty: nothing was. Later
  /// reports do not move it, so that a steady flow of them puts nothing off.
  std::optional<int64_t> reports_due_ms_;
  /// When they are looked at again without news.
  int64_t next_check_ms_ = 0;
};

} // namespace workshatch::relay

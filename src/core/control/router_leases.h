/// @file
/// The control leader's knowledge of routers: serving leases, what each has in force, load sums.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "workshatch/v1/control.pb.h"

namespace workshatch::control {

/// Times are milliseconds of the leader's monotonic clock.
struct LeaseOptions {
  int64_t lease_ms = 2000;
  /// Added before a router is dropped, for the difference between two clocks.
  int64_t margin_ms = 100;
  /// Age up to which a router's load report counts.
  int64_t max_load_report_age_ms = 320;
};

/// Soft state of one term of leadership; made anew when a replica becomes leader.
///
/// Guarantees: a router is reported as expired only when its last lease has lapsed, those granted
/// by an earlier leader included; a view or revision counts as in force everywhere only when each
/// router of the view said so. Not safe for concurrent use.
class RouterLeases {
public:
  explicit RouterLeases(LeaseOptions options) : options_(options) {}

  /// Takes note of a renewal that is answered with a lease.
  void recordRenewal(const v1::RenewRequest& request, int64_t now_ms);

  /// Routers of the view whose lease has certainly lapsed. A router that is seen for the first time
  /// has a whole lease from now: an earlier leader may have granted it, or it has just registered.
  std::vector<v1::RouterKey> expiredRouters(const v1::View& view, int64_t now_ms);

  /// Routers of the view that are not known to have `revision` in force.
  std::vector<std::string> routersBehind(const v1::View& view, uint64_t revision) const;

  /// @return whether a majority of the view before the last drop has acknowledged this one.
  bool dropAcknowledged(const v1::View& view) const;

  /// @return the view's number when every router in it has it in force, else an earlier number.
  uint64_t settledView(const v1::View& view) const;

  /// Sums of the loads that the view's routers reported, by pool. Reports of routers that have not
  /// renewed lately are left out: what a dead router admitted is gone, and a sum that is too low
  /// only makes owners wait.
  std::vector<v1::PoolLoad> poolTotals(const v1::View& view, int64_t now_ms) const;

  /// Routers of the view whose loads `poolTotals` leaves out.
  std::vector<v1::RouterKey> silentRouters(const v1::View& view, int64_t now_ms) const;

  v1::RouterStatus status(const v1::RouterEntry& router, int64_t now_ms) const;

private:
  struct RouterRecord {
    uint64_t incarnation = 0;
    int64_t renewed_ms = 0;
    uint64_t revision = 0;
    uint64_t view = 0;
    std::vector<v1::PoolLoad> loads;
  };

  const RouterRecord* find(const v1::RouterEntry& router) const;
  /// The record of a router that renewed lately; null: it is silent.
  const RouterRecord* findRecentlyRenewed(const v1::RouterEntry& router, int64_t now_ms) const;

  const LeaseOptions options_;
  std::map<std::string, RouterRecord> records_;
  mutable uint64_t settled_view_ = 0;
};

} // namespace workshatch::control

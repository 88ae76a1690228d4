/// @file
/// The control leader's soft state about routers: serving leases, revision and view in force,
/// reported loads.
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
  /// Added to the lease before a router is dropped, to allow for the difference between two clocks.
  int64_t margin_ms = 100;
  /// Maximum age of a load report that is still counted.
  int64_t max_load_report_age_ms = 320;
};

/// Soft state of one term of leadership; created anew when a replica becomes leader.
///
/// Guarantees: a router is reported as expired only when its last lease has expired, including
/// leases that an earlier leader granted; a view or revision counts as in force everywhere only
/// when each router of the view has confirmed it. Not safe for concurrent use.
class RouterLeases {
public:
  explicit RouterLeases(LeaseOptions options) : options_(options) {}

  /// Records a renewal that is answered with a lease.
  void recordRenewal(const v1::RenewRequest& request, int64_t now_ms);

  /// @return the routers of the view whose lease has certainly expired. The lease of a router that
  /// is seen for the first time counts from now, because an earlier leader may have granted it, or
  /// the router has just registered.
  std::vector<v1::RouterKey> expiredRouters(const v1::View& view, int64_t now_ms);

  /// @return names of the routers of the view that have not confirmed `revision`.
  std::vector<std::string> routersBehind(const v1::View& view, uint64_t revision) const;

  /// @return whether a majority of the routers of the view before the last drop has acknowledged
  /// this view.
  bool dropAcknowledged(const v1::View& view) const;

  /// @return the view's number when every router in it has confirmed it; otherwise an earlier
  /// number for which this was so.
  uint64_t settledView(const v1::View& view) const;

  /// @return the total load of each pool, from the reports of the view's routers. Reports of
  /// routers that have not renewed recently are left out: requests that a dead router admitted are
  /// gone, and a total that is too low only makes owners wait.
  std::vector<v1::PoolLoad> poolTotals(const v1::View& view, int64_t now_ms) const;

  /// @return the routers of the view that `poolTotals` leaves out.
  std::vector<v1::RouterKey> silentRouters(const v1::View& view, int64_t now_ms) const;

  /// @return the state of a router for operators.
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
  /// @return the record of a router that renewed recently, or null if it is silent.
  const RouterRecord* findRecentlyRenewed(const v1::RouterEntry& router, int64_t now_ms) const;

  const LeaseOptions options_;
  std::map<std::string, RouterRecord> records_;
  /// Highest view number that all routers of the view have confirmed.
  mutable uint64_t settled_view_ = 0;
};

} // namespace workshatch::control

/// @file
/// Serving state of one router: configuration, view and serving lease.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "workshatch/v1/control.pb.h"

namespace workshatch::serving {

/// Immutable copy of the serving state, shared by the requests that run under it.
struct ServingSnapshot {
  uint64_t revision = 0;
  std::shared_ptr<const v1::Configuration> configuration;
  std::shared_ptr<const v1::View> view;
  /// Highest number of a view that all routers in it have in force.
  uint64_t settled_view = 0;
  /// The last view that all routers in it had in force; null: none yet.
  std::shared_ptr<const v1::View> settled;
  /// End of the serving lease, in milliseconds of this router's monotonic clock.
  int64_t lease_until_ms = 0;
};

/// Tracks what the control leader's answers to lease renewals put in force.
///
/// Guarantees: revision and view number never decrease; a lease counts from the time at which its
/// renewal was sent, and takes effect only together with the configuration that came with it. Not
/// safe for concurrent use.
class ServingState {
public:
  ServingState();

  /// Applies the answer to a lease renewal.
  /// @param sent_ms time at which the renewal was sent
  /// @return false when the answer was ignored, because it is older than the current state or
  /// incomplete.
  bool applyRenewal(const v1::RenewReply& reply, int64_t sent_ms);

  /// @return whether requests may be served now.
  bool mayServe(int64_t now_ms) const;

  /// @return milliseconds since the sending of the last renewal whose answer was applied, at least
  /// 1; the maximum of the type if there is none. Reported to the control leader.
  uint32_t answerAgeMs(int64_t now_ms) const;

  /// Records that the permits of engines with a new owner were reported under this view.
  void setReportedView(uint64_t view) { reported_view_ = view; }

  uint64_t reportedView() const { return reported_view_; }
  const ServingSnapshot& snapshot() const { return snapshot_; }

private:
  ServingSnapshot snapshot_;
  uint64_t reported_view_ = 0;
  /// When the last renewal whose answer was applied was sent, in milliseconds of this router's
  /// monotonic clock.
  std::optional<int64_t> answered_sent_ms_;
};

} // namespace workshatch::serving

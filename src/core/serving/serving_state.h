/// @file
/// What one router has in force: configuration, view and serving lease.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "workshatch/v1/control.pb.h"

namespace workshatch::serving {

/// An immutable copy of what is in force, shared by the requests that run under it.
struct ServingSnapshot {
  uint64_t revision = 0;
  std::shared_ptr<const v1::Configuration> configuration;
  std::shared_ptr<const v1::View> view;
  /// Highest view that every router in it has in force.
  uint64_t settled_view = 0;
  /// The last view that was in force on every router in it; null: none yet.
  std::shared_ptr<const v1::View> settled;
  /// End of the serving lease by this router's monotonic clock.
  int64_t lease_until_ms = 0;
};

/// Guarantees: revision and view never go back; a lease counts from when its renewal was sent and
/// only together with the configuration that came with it. Not safe for concurrent use.
class ServingState {
public:
  ServingState();

  /// Takes over the answer to a renewal.
  /// @param sent_ms when the renewal was sent
  /// @return false when the answer does not fit what is in force and was ignored.
  bool applyRenewal(const v1::RenewReply& reply, int64_t sent_ms);

  /// @return whether requests may be served now.
  bool mayServe(int64_t now_ms) const;

  /// Takes note that permits of engines with a new owner were reported under this view.
  void setReportedView(uint64_t view) { reported_view_ = view; }

  uint64_t reportedView() const { return reported_view_; }
  const ServingSnapshot& snapshot() const { return snapshot_; }

private:
  ServingSnapshot snapshot_;
  uint64_t reported_view_ = 0;
};

} // namespace workshatch::serving

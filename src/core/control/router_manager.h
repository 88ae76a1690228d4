/// @file
/// What the control leader does for routers: leases, registration, removal of those that are gone.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/control/replicated_state.h"
#include "core/control/router_leases.h"

namespace workshatch::control {

/// Duties of one term of leadership; a new leader starts anew. Reads the replicated state and gives
/// commands to propose; does no I/O. Times are milliseconds of the leader's monotonic clock. Not
/// safe for concurrent use.
class RouterManager {
public:
  explicit RouterManager(LeaseOptions options) : options_(options), leases_(options) {}

  struct Renewal {
    v1::RenewReply reply;
    /// To propose: the router's registration.
    std::optional<v1::Command> command;
  };

  /// Answers a renewal. Called only while no other replica can be leader.
  Renewal renew(const v1::RenewRequest& request, const ReplicatedState& state, int64_t now_ms);

  /// The command that drops routers whose leases have lapsed, when it is due. One drop at a time:
  /// a majority of the view before it acknowledges each.
  std::optional<v1::Command> dropExpired(const ReplicatedState& state, int64_t now_ms);

  /// @return whether every router that serves, or may serve, has `revision` in force.
  bool isActiveOnAllRouters(const ReplicatedState& state, uint64_t revision) const;

  const RouterLeases& leases() const { return leases_; }

private:
  struct Registration {
    uint64_t incarnation = 0;
    v1::RouterState state = v1::ROUTER_STATE_UNSPECIFIED;
    int64_t proposed_ms = 0;
  };

  bool registrationDue(const v1::RouterEntry& router, int64_t now_ms);

  const LeaseOptions options_;
  RouterLeases leases_;
  /// Registrations proposed last, by router.
  std::map<std::string, Registration> registrations_;
  /// View under which a drop was proposed last, and when.
  uint64_t drop_view_ = 0;
  int64_t drop_proposed_ms_ = 0;
};

} // namespace workshatch::control

/// @file
/// Tasks of the control leader for routers: granting leases, registering routers, and dropping
/// routers whose leases have expired.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/control/replicated_state.h"
#include "core/control/router_leases.h"

namespace workshatch::control {

/// State of one term of leadership; a new leader starts with a new object. Reads the replicated
/// state and returns commands to propose; performs no I/O. Times are milliseconds of the leader's
/// monotonic clock. Not safe for concurrent use.
class RouterManager {
public:
  explicit RouterManager(LeaseOptions options) : options_(options), leases_(options) {}

  struct Renewal {
    v1::RenewReply reply;
    /// Command that registers the router, when one has to be proposed.
    std::optional<v1::Command> command;
  };

  /// Answers a lease renewal. May only be called while no other replica can be leader.
  ///
  /// A router that received no answer for the length of a lease has no lease, although its renewals
  /// arrive, as over a link that is cut in one direction. It is not registered and gets no new
  /// lease until its next renewal reports an answer: otherwise it would stay in the view without
  /// serving, and every change would wait for it. The answer tells it everything else that it
  /// lacks.
  Renewal renew(const v1::RenewRequest& request, const ReplicatedState& state, int64_t now_ms);

  /// @return the command that drops routers whose leases have expired, when one is due. Only one
  /// drop is in progress at a time: it ends when a majority of the routers of the previous view has
  /// acknowledged the new view.
  std::optional<v1::Command> dropExpired(const ReplicatedState& state, int64_t now_ms);

  /// @return whether every router that serves requests, or may still do so, has `revision` in
  /// force.
  bool isActiveOnAllRouters(const ReplicatedState& state, uint64_t revision) const;

  const RouterLeases& leases() const { return leases_; }

private:
  struct Registration {
    uint64_t incarnation = 0;
    v1::RouterState state = v1::ROUTER_STATE_UNSPECIFIED;
    int64_t proposed_ms = 0;
  };

  /// @return whether the router received an answer within the length of a lease, or does not state
  /// it.
  bool receivesAnswers(const v1::RenewRequest& request) const;

  /// @return whether the router's registration has to be proposed now. If so, the proposal is
  /// recorded.
  bool registrationDue(const v1::RouterEntry& router, int64_t now_ms);

  const LeaseOptions options_;
  RouterLeases leases_;
  /// Last proposed registration of each router.
  std::map<std::string, Registration> registrations_;
  /// View under which a drop was last proposed, and the time of the proposal.
  uint64_t drop_view_ = 0;
  int64_t drop_proposed_ms_ = 0;
};

} // namespace workshatch::control

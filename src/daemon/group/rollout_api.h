/// @file
/// The part of the operator HTTP API that starts and queries rollouts.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "adapters/http/http_server.h"
#include "daemon/group/group_replica.h"
#include "daemon/group/leader_calls.h"
#include "ports/clock.h"
#include "ports/relay_dialect.h"

namespace workshatch::daemon {

/// Serves the rollout calls of operators; only the leader serves them, other replicas redirect. A
/// call that starts a rollout is answered once a majority has stored it. If the call is repeated,
/// it is refused as under way while the rollout runs, and acknowledged again for a limited time
/// after the rollout ended. Used on the replica's event loop; not safe for concurrent use.
class RolloutApi {
public:
  /// Returns the runner list that the leader sends to relays; its version is zero while there is
  /// none.
  using RunnerSource = std::function<const v1::RunnerList&()>;

  RolloutApi(GroupReplica& replica, const Clock& clock, const RelayDialect& dialect,
             LeaderCalls& calls, RunnerSource runners)
      : replica_(replica), clock_(clock), dialect_(dialect), calls_(calls),
        runners_(std::move(runners)) {}

  http::awaitable<void> handle(http::Exchange& exchange, RolloutCall call);

private:
  http::awaitable<void> begin(http::Exchange& exchange);
  http::awaitable<void> sendRolloutStatus(http::Exchange& exchange, std::string service);
  http::awaitable<http::Response> order(v1::Rollout rollout);
  /// @return the response if no rollout has to be proposed, because the same one was ordered before
  /// or the request can't be met; nothing if a rollout has to be proposed.
  std::optional<http::Response>
  responseWithoutOrder(const RolloutRequest& request,
                       const std::vector<std::string>& versions) const;
  http::Response rolloutResponse(const std::string& service) const;
  /// @return the distinct versions of the service's runners.
  std::vector<std::string> versionsOf(const std::string& service) const;

  GroupReplica& replica_;
  const Clock& clock_;
  const RelayDialect& dialect_;
  LeaderCalls& calls_;
  const RunnerSource runners_;
};

} // namespace workshatch::daemon

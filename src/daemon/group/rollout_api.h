/// @file
/// The operator's calls about rollouts, at the replica that leads.
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

/// A call that begins a rollout is answered once a majority has stored it. Sent again, it is
/// refused as under way while the rollout runs, and acknowledged again for a while after its end.
/// Lives on the replica's event loop; not safe for concurrent use.
class RolloutApi {
public:
  /// @return the runners that the leader tells relays; version zero: it has no list yet.
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
  /// @return the answer to a wish that needs no order, or can't be ordered.
  std::optional<http::Response>
  responseWithoutOrder(const RolloutRequest& wish, const std::vector<std::string>& versions) const;
  http::Response rolloutResponse(const std::string& service) const;
  std::vector<std::string> versionsOf(const std::string& service) const;

  GroupReplica& replica_;
  const Clock& clock_;
  const RelayDialect& dialect_;
  LeaderCalls& calls_;
  const RunnerSource runners_;
};

} // namespace workshatch::daemon

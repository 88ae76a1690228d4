/// @file
/// The HTTP API for operators: write and read the whole configuration, evacuate zones, start and
/// query rollouts.
#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "adapters/http/http_server.h"
#include "daemon/group/group_replica.h"
#include "daemon/group/leader_calls.h"
#include "daemon/group/rollout_api.h"
#include "ports/configuration_codec.h"
#include "ports/relay_dialect.h"

namespace workshatch::daemon {

/// Serves operator calls at one replica. A replica that is not the leader redirects them to the
/// leader. Used on the replica's event loop; not safe for concurrent use.
class OperatorApi {
public:
  /// Returns whether a zone with this name exists.
  using ZoneCheck = std::function<bool(const std::string& zone)>;

  /// @param port the operator port, which is the same on all machines
  OperatorApi(boost::asio::io_context& context, GroupReplica& replica, const Clock& clock,
              const ConfigurationCodec& codec, const RelayDialect& dialect, std::string port,
              ZoneCheck zone_exists, RolloutApi::RunnerSource runners)
      : replica_(replica), clock_(clock), codec_(codec), dialect_(dialect),
        calls_(context, replica, std::move(port)),
        rollouts_(replica, clock, dialect, calls_, std::move(runners)),
        zone_exists_(std::move(zone_exists)) {}

  http::awaitable<void> handle(http::Exchange& exchange);

private:
  http::awaitable<void> put(http::Exchange& exchange);
  http::awaitable<void> get(http::Exchange& exchange);
  http::awaitable<void> evacuate(http::Exchange& exchange, EvacuationCall call);

  GroupReplica& replica_;
  const Clock& clock_;
  const ConfigurationCodec& codec_;
  const RelayDialect& dialect_;
  LeaderCalls calls_;
  RolloutApi rollouts_;
  const ZoneCheck zone_exists_;
};

} // namespace workshatch::daemon

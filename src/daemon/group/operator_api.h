/// @file
/// The operator's calls: put and get of the whole configuration, over HTTP.
#pragma once

#include <string>

#include <boost/asio/io_context.hpp>

#include "adapters/http/http_server.h"
#include "daemon/group/group_replica.h"
#include "ports/configuration_codec.h"
#include "ports/relay_dialect.h"

namespace workshatch::daemon {

/// Answers operators at one replica. A replica that does not lead sends them to the leader. Lives
/// on the replica's event loop.
class OperatorApi {
public:
  /// @param port the operator port, alike on all machines
  OperatorApi(boost::asio::io_context& context, GroupReplica& replica,
              const ConfigurationCodec& codec, const RelayDialect& dialect, std::string port)
      : context_(context), replica_(replica), codec_(codec), dialect_(dialect),
        port_(std::move(port)) {}

  http::awaitable<void> handle(http::Exchange& exchange);

private:
  http::awaitable<void> put(http::Exchange& exchange);
  http::awaitable<void> get(http::Exchange& exchange);
  http::awaitable<StoreOutcome> store(v1::StoredConfiguration configuration);
  /// 307 to the leader, or 503 when none is known.
  http::Response elsewhere(const http::Exchange& exchange) const;

  boost::asio::io_context& context_;
  GroupReplica& replica_;
  const ConfigurationCodec& codec_;
  const RelayDialect& dialect_;
  const std::string port_;
};

} // namespace workshatch::daemon

/// @file
/// Helpers shared by all operator calls. Only the leader serves them: a change is answered once it
/// is stored, a read once a majority has confirmed the leader.
#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "adapters/http/http_server.h"
#include "daemon/group/group_replica.h"

namespace workshatch::daemon {

/// @return an error response; with status 503 it includes a retry delay.
http::Response makeRefusal(http::Status status, std::string code, std::string detail);

/// @return whether the change was stored.
bool isStored(const CallOutcome<StoreOutcome>& outcome);

/// @return the response to a proposed change with this outcome.
http::Response responseTo(const CallOutcome<StoreOutcome>& outcome);

/// @return the error response for a change or read that no majority confirmed in time.
http::Response notConfirmedResponse();

/// Runs operator calls that need the leader. Used on the replica's event loop; not safe for
/// concurrent use.
class LeaderCalls {
public:
  /// Makes the response to a read. The replica calls it synchronously; the configuration reference
  /// must not be kept.
  using ReadResponder = std::function<http::Response(const v1::StoredConfiguration&)>;

  /// @param port the operator port, which is the same on all machines
  LeaderCalls(boost::asio::io_context& context, GroupReplica& replica, std::string port)
      : context_(context), replica_(replica), port_(std::move(port)) {}

  /// @return a redirect (307) to the leader, or 503 if no leader is known.
  http::Response redirectToLeader(const http::Exchange& exchange) const;

  /// Calls `propose` and waits for the outcome of the proposal, for a limited time.
  /// @return the outcome; NotLeader after the time limit.
  http::awaitable<CallOutcome<StoreOutcome>>
  awaitOutcome(std::function<void(GroupReplica::StoreCallback)> propose);

  /// Waits until a majority has confirmed this leader, for a limited time, and then calls `answer`
  /// with the replicated state.
  /// @return its response, or an error response if the read was not confirmed.
  http::awaitable<http::Response> read(const ReadResponder& answer);

private:
  boost::asio::io_context& context_;
  GroupReplica& replica_;
  const std::string port_;
};

} // namespace workshatch::daemon

/// @file
/// What all operators' calls share: only the leader answers them, a change once it is stored, a
/// read once a majority has confirmed the leader.
#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "adapters/http/http_server.h"
#include "daemon/group/group_replica.h"

namespace workshatch::daemon {

/// @return a refusal; one with 503 tells when to come back.
http::Response makeRefusal(http::Status status, std::string code, std::string detail);

/// @return whether the change is in force.
bool isStored(const CallOutcome<StoreOutcome>& outcome);

/// @return the answer to a change.
http::Response responseTo(const CallOutcome<StoreOutcome>& outcome);

/// @return the refusal of a call for which no majority answered.
http::Response notConfirmedResponse();

/// Lives on the replica's event loop; not safe for concurrent use.
class LeaderCalls {
public:
  /// Runs while the state that was read is held.
  using ReadResponder = std::function<http::Response(const v1::StoredConfiguration&)>;

  /// @param port the operator port, alike on all machines
  LeaderCalls(boost::asio::io_context& context, GroupReplica& replica, std::string port)
      : context_(context), replica_(replica), port_(std::move(port)) {}

  /// @return 307 to the leader, or 503 when none is known.
  http::Response redirectToLeader(const http::Exchange& exchange) const;

  /// Waits for what `propose` asks of the replica.
  http::awaitable<CallOutcome<StoreOutcome>>
  awaitOutcome(std::function<void(GroupReplica::StoreCallback)> propose);

  /// Answers with what `answer` makes of the replicated state once it is confirmed to be the
  /// newest.
  http::awaitable<http::Response> read(const ReadResponder& answer);

private:
  boost::asio::io_context& context_;
  GroupReplica& replica_;
  const std::string port_;
};

} // namespace workshatch::daemon

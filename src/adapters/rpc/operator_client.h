/// @file
/// Blocking client for operator calls. It finds the control leader and retries while there is none.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/result.h"
#include "workshatch/v1/control.grpc.pb.h"

namespace workshatch::rpc {

/// Calls return an error if no leader replies within the timeout, or if the token is refused.
class OperatorClient {
public:
  /// @param timeout_ms limit on the duration of a call, including its retries
  OperatorClient(std::vector<std::string> addresses, std::string token, int64_t timeout_ms);

  Result<v1::ApplyReply> apply(const v1::ApplyRequest& request);
  Result<v1::ApplyReply> drainRunner(const v1::DrainRunnerRequest& request);
  Result<v1::GetReply> get();
  Result<v1::StatusReply> status();
  Result<v1::ReplaceReplicaReply> replaceReplica(const v1::ReplaceReplicaRequest& request);

private:
  template <typename Request, typename Reply>
  Result<Reply> call(const Request& request,
                     grpc::Status (v1::Operator::Stub::*method)(grpc::ClientContext*,
                                                                const Request&, Reply*));

  const std::vector<std::string> addresses_;
  const std::string token_;
  const int64_t timeout_ms_;
  std::vector<std::unique_ptr<v1::Operator::Stub>> stubs_;
};

} // namespace workshatch::rpc

#include "adapters/rpc/operator_client.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "adapters/rpc/channels.h"

namespace workshatch::rpc {

namespace {

using Clock = std::chrono::steady_clock;
constexpr std::chrono::milliseconds kRetryDelay{100};
/// Timeout of one attempt. It is longer than the time for which `Apply` waits until the
/// configuration is active on all routers.
constexpr int64_t kAttemptTimeoutMs = 8000;

} // namespace

OperatorClient::OperatorClient(std::vector<std::string> addresses, std::string token,
                               int64_t timeout_ms)
    : addresses_(std::move(addresses)), token_(std::move(token)), timeout_ms_(timeout_ms) {
  for (const std::string& address : addresses_) {
    stubs_.push_back(v1::Operator::NewStub(makeChannel(address)));
  }
}

template <typename Request, typename Reply>
Result<Reply> OperatorClient::call(const Request& request,
                                   grpc::Status (v1::Operator::Stub::*method)(grpc::ClientContext*,
                                                                              const Request&,
                                                                              Reply*)) {
  const auto deadline = Clock::now() + std::chrono::milliseconds(timeout_ms_);
  std::string last_error = "no control address was given";
  size_t current = 0;
  while (!stubs_.empty()) {
    const auto remaining_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
    if (remaining_ms <= 0) {
      break;
    }
    grpc::ClientContext context;
    setKeyAndDeadline(context, token_, std::min<int64_t>(remaining_ms, kAttemptTimeoutMs));
    Reply reply;
    const grpc::Status status = (stubs_[current].get()->*method)(&context, request, &reply);
    if (status.error_code() == grpc::StatusCode::UNAUTHENTICATED) {
      return Error{addresses_[current] + " refused the operator's token"};
    }
    if (status.ok() && !reply.not_leader()) {
      return reply;
    }
    last_error =
        addresses_[current] + ": " + (status.ok() ? "does not lead" : status.error_message());
    const auto leader = std::find(addresses_.begin(), addresses_.end(), reply.leader_address());
    if (status.ok() && leader != addresses_.end()) {
      current = static_cast<size_t>(leader - addresses_.begin());
    } else {
      current = (current + 1) % stubs_.size();
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
  return Error{"no control leader answered in time (" + last_error + ")"};
}

Result<v1::ApplyReply> OperatorClient::apply(const v1::ApplyRequest& request) {
  return call<v1::ApplyRequest, v1::ApplyReply>(request, &v1::Operator::Stub::Apply);
}

Result<v1::ApplyReply> OperatorClient::drainRunner(const v1::DrainRunnerRequest& request) {
  return call<v1::DrainRunnerRequest, v1::ApplyReply>(request, &v1::Operator::Stub::DrainRunner);
}

Result<v1::GetReply> OperatorClient::get() {
  return call<v1::GetRequest, v1::GetReply>(v1::GetRequest(), &v1::Operator::Stub::Get);
}

Result<v1::StatusReply> OperatorClient::status() {
  return call<v1::StatusRequest, v1::StatusReply>(v1::StatusRequest(), &v1::Operator::Stub::Status);
}

Result<v1::ReplaceReplicaReply>
OperatorClient::replaceReplica(const v1::ReplaceReplicaRequest& request) {
  return call<v1::ReplaceReplicaRequest, v1::ReplaceReplicaReply>(
      request, &v1::Operator::Stub::ReplaceReplica);
}

} // namespace workshatch::rpc

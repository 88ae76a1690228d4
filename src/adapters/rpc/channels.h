/// @file
/// gRPC channels with the options that the system uses, and the keys that calls carry.
#pragma once

#include <memory>
#include <string>

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <grpcpp/server_context.h>

namespace workshatch::rpc {

/// A channel that tries again soon after a failure.
std::shared_ptr<grpc::Channel> makeChannel(const std::string& address);

/// Puts a deadline and a key into a call.
void setKeyAndDeadline(grpc::ClientContext& context, const std::string& key, int64_t timeout_ms);

/// @return whether the call carries `key`; the comparison takes the same time for any key.
bool hasKey(const grpc::ServerContextBase& context, const std::string& key);

/// Names a caller for the log, without its key.
std::string peerOf(const grpc::CallbackServerContext& context);

} // namespace workshatch::rpc

/// @file
/// Creation of gRPC channels, and authentication of calls by a shared key in their metadata.
#pragma once

#include <memory>
#include <string>

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <grpcpp/server_context.h>

namespace workshatch::rpc {

/// @return a channel without TLS, with a reconnect backoff of at most 0.5 s and messages of up to
/// 256 MB.
std::shared_ptr<grpc::Channel> makeChannel(const std::string& address);

/// Sets the deadline and the key of a call.
void setKeyAndDeadline(grpc::ClientContext& context, const std::string& key, int64_t timeout_ms);

/// @return whether the call carries `key`. The comparison takes constant time, so that its duration
/// does not reveal the key.
bool hasKey(const grpc::ServerContextBase& context, const std::string& key);

/// @return the address of the caller, for the log.
std::string peerOf(const grpc::CallbackServerContext& context);

} // namespace workshatch::rpc

#include "adapters/rpc/channels.h"

#include <chrono>

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <openssl/crypto.h>

namespace workshatch::rpc {

namespace {

constexpr const char* kKeyHeader = "authorization";
constexpr int kInitialReconnectMs = 100;
constexpr int kMaxReconnectMs = 500;
/// The limit is this high since a snapshot of the replicated state is sent as one message.
constexpr int kMaxMessageBytes = 256 * 1024 * 1024;

} // namespace

std::shared_ptr<grpc::Channel> makeChannel(const std::string& address) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kInitialReconnectMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kInitialReconnectMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  arguments.SetMaxSendMessageSize(kMaxMessageBytes);
  return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

void setKeyAndDeadline(grpc::ClientContext& context, const std::string& key, int64_t timeout_ms) {
  context.AddMetadata(kKeyHeader, key);
  context.set_deadline(std::chrono::system_clock::now() + std::chrono::milliseconds(timeout_ms));
}

bool hasKey(const grpc::ServerContextBase& context, const std::string& key) {
  const auto& metadata = context.client_metadata();
  const auto found = metadata.find(kKeyHeader);
  return found != metadata.end() && found->second.size() == key.size() &&
         CRYPTO_memcmp(found->second.data(), key.data(), key.size()) == 0;
}

std::string peerOf(const grpc::CallbackServerContext& context) { return context.peer(); }

} // namespace workshatch::rpc

#include "adapters/rpc/replica_transport.h"

#include <utility>

#include "adapters/rpc/channels.h"

namespace workshatch::rpc {

namespace {

constexpr int64_t kDeliverTimeoutMs = 1000;
constexpr int64_t kHelloTimeoutMs = 1000;
/// Limit on the calls in progress to one replica, so that calls to an unresponsive replica do not
/// accumulate in memory.
constexpr int kMaxOutstandingCalls = 64;

} // namespace

GrpcReplicaTransport::GrpcReplicaTransport(std::string own_address, std::string key,
                                           AddressOverrides address_overrides)
    : own_address_(std::move(own_address)), key_(std::move(key)),
      address_overrides_(std::move(address_overrides)) {}

GrpcReplicaTransport::Peer& GrpcReplicaTransport::peer(const std::string& address) {
  const std::lock_guard lock(mutex_);
  std::unique_ptr<Peer>& found = peers_[address];
  if (!found) {
    found = std::make_unique<Peer>();
    found->stub = v1::ControlPeer::NewStub(makeChannel(address_overrides_.resolve(address)));
  }
  return *found;
}

void GrpcReplicaTransport::send(const std::string& address, v1::RaftMessage message) {
  Peer& target = peer(address);
  if (target.outstanding.load() >= kMaxOutstandingCalls) {
    return;
  }
  auto call = std::make_shared<UnaryCall<v1::RaftBatch, v1::DeliverReply>>();
  call->request.set_sender_address(own_address_);
  *call->request.add_messages() = std::move(message);
  setKeyAndDeadline(call->context, key_, kDeliverTimeoutMs);
  if (!calls_.begin(call)) {
    return;
  }
  ++target.outstanding;
  target.stub->async()->Deliver(&call->context, &call->request, &call->reply,
                                [this, &target, &call = *call](const grpc::Status&) {
                                  --target.outstanding;
                                  calls_.markFinished(call);
                                });
}

void GrpcReplicaTransport::sendHello(const std::string& address, uint64_t own_id,
                                     std::function<void(const v1::HelloReply&)> done) {
  auto call = std::make_shared<UnaryCall<v1::HelloRequest, v1::HelloReply>>();
  call->request.set_id(own_id);
  call->request.set_address(own_address_);
  setKeyAndDeadline(call->context, key_, kHelloTimeoutMs);
  if (!calls_.begin(call)) {
    return;
  }
  peer(address).stub->async()->Hello(
      &call->context, &call->request, &call->reply,
      [this, &call = *call, done = std::move(done)](const grpc::Status& status) {
        if (status.ok()) {
          done(call.reply);
        }
        calls_.markFinished(call);
      });
}

} // namespace workshatch::rpc

/// @file
/// Tests of the lifetime of calls between control replicas.
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <doctest/doctest.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include "adapters/rpc/replica_transport.h"
#include "unit/wait_until.h"

namespace workshatch::test {

namespace {

constexpr std::chrono::milliseconds kReplyDelay{200};

/// A replica that replies to Hello after a delay.
class SlowPeer : public v1::ControlPeer::Service {
public:
  SlowPeer() {
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
    address_ = "127.0.0.1:" + std::to_string(port);
  }

  const std::string& address() const { return address_; }
  bool helloReceived() const { return hello_received_; }

  grpc::Status Hello(grpc::ServerContext*, const v1::HelloRequest*, v1::HelloReply*) override {
    hello_received_ = true;
    std::this_thread::sleep_for(kReplyDelay);
    return grpc::Status::OK;
  }

private:
  std::string address_;
  std::atomic<bool> hello_received_{false};
  std::unique_ptr<grpc::Server> server_;
};

} // namespace

// Guards against a use after free: a replica stopped while its Hello call to another replica was in
// progress, and the callback of the call used the role after its destruction.
TEST_CASE("No reply to a Hello is delivered after the transport is destroyed") {
  SlowPeer peer;
  auto transport =
      std::make_unique<rpc::GrpcReplicaTransport>("127.0.0.1:1", "key", AddressOverrides());
  const auto replies = std::make_shared<std::atomic<int>>(0);
  transport->sendHello(peer.address(), 1, [replies](const v1::HelloReply&) { ++*replies; });
  REQUIRE(waitUntil([&] { return peer.helloReceived(); }));

  transport.reset();
  const int replies_at_destruction = *replies;
  // The callback holds its copy of the counter until the call is destroyed.
  REQUIRE(waitUntil([&] { return replies.use_count() == 1; }));
  CHECK(*replies == replies_at_destruction);
}

} // namespace workshatch::test

/// @file
/// Fixture for control replica tests: a replica with an in-memory disk and its gRPC services on
/// loopback, and an operator client.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <doctest/doctest.h>

#include "adapters/rpc/channels.h"
#include "adapters/system_clock.h"
#include "daemon/control/control_replica.h"
#include "daemon/control/control_services.h"
#include "ports/seeded_random.h"
#include "unit/daemon/memory_store.h"
#include "unit/wait_until.h"
#include "workshatch/v1/control.grpc.pb.h"

namespace workshatch::test {

/// The port is below the range of ephemeral ports.
constexpr const char* kControlAddress = "127.0.9.10:19170";
constexpr const char* kControlKey = "control-key";
constexpr const char* kOperatorToken = "operator-token";

/// Drops all messages; sufficient for a group of one replica.
class NoTransport : public ReplicaTransport {
public:
  void send(const std::string&, v1::RaftMessage) override {}
};

/// A control replica that forms a group of one, with its services.
class ControlMachine {
public:
  explicit ControlMachine(uint64_t seed = 1) : disk(seed), random_(seed) {
    daemon::ReplicaOptions options;
    options.initial_addresses = {kControlAddress};
    options.own_address = kControlAddress;
    options.heartbeat_ms = 10;
    options.election_ticks = 5;
    // Small, so that some stops occur while a snapshot is written.
    options.snapshot_entries = 8;
    replica = std::make_unique<daemon::ControlReplica>(options, disk, clock_, random_, transport_);
    services = std::make_unique<daemon::ControlServices>(
        *replica,
        daemon::ServiceKeys{.control_key = kControlKey, .operator_token = kOperatorToken});
  }

  void start() {
    REQUIRE_FALSE(isError(replica->start()));
    REQUIRE_FALSE(isError(services->listen(kControlAddress)));
  }

  /// Stops replica and services in the same order as ControlRole.
  daemon::StopOutcome stop() {
    const daemon::StopOutcome outcome = replica->stop();
    services.reset();
    return outcome;
  }

  MemoryStore disk;
  std::unique_ptr<daemon::ControlReplica> replica;
  std::unique_ptr<daemon::ControlServices> services;

private:
  const SystemClock clock_{};
  SeededRandom random_;
  NoTransport transport_;
};

/// An operator client with its own connection.
class TestOperator {
public:
  TestOperator() : stub_(v1::Operator::NewStub(rpc::makeChannel(kControlAddress))) {}

  /// @param limit deadline of the call
  grpc::Status status(std::chrono::milliseconds limit, v1::StatusReply& reply) {
    grpc::ClientContext context;
    rpc::setKeyAndDeadline(context, kOperatorToken, limit.count());
    return stub_->Status(&context, v1::StatusRequest(), &reply);
  }

  /// Requests a configuration change, which the replica has to write to its disk.
  /// @param limit deadline of the call
  grpc::Status apply(std::chrono::milliseconds limit) {
    grpc::ClientContext context;
    rpc::setKeyAndDeadline(context, kOperatorToken, limit.count());
    v1::ApplyRequest request;
    request.set_request_id("change");
    v1::ApplyReply reply;
    return stub_->Apply(&context, request, &reply);
  }

  /// Requests to replace `old_id` by a replica that does not exist, so that the membership change
  /// stays in progress.
  /// @param limit deadline of the call
  grpc::Status replaceReplica(std::chrono::milliseconds limit, uint64_t old_id) {
    grpc::ClientContext context;
    rpc::setKeyAndDeadline(context, kOperatorToken, limit.count());
    v1::ReplaceReplicaRequest request;
    request.set_old_id(old_id);
    request.set_new_id(old_id + 1);
    request.set_new_address("127.0.9.11:19171");
    v1::ReplaceReplicaReply reply;
    return stub_->ReplaceReplica(&context, request, &reply);
  }

  /// @return whether the replica answers as the leader.
  bool isServed() {
    v1::StatusReply reply;
    return status(kStopLimit, reply).ok() && !reply.not_leader();
  }

private:
  std::unique_ptr<v1::Operator::Stub> stub_;
};

} // namespace workshatch::test

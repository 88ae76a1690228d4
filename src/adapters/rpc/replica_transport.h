/// @file
/// Transport for messages between control replicas over gRPC.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "adapters/address_overrides.h"
#include "adapters/rpc/calls_in_flight.h"
#include "ports/replica_transport.h"
#include "workshatch/v1/control.grpc.pb.h"

namespace workshatch::rpc {

/// Safe for concurrent use. Messages to a replica that does not respond are dropped; Raft repeats
/// those that are needed. No callback runs after `end` or after the transport is destroyed.
class GrpcReplicaTransport : public ReplicaTransport {
public:
  GrpcReplicaTransport(std::string own_address, std::string key,
                       AddressOverrides address_overrides);

  void send(const std::string& address, v1::RaftMessage message) override;

  /// Exchanges identities with the replica at `address`.
  /// @param done receives the reply on a gRPC thread; not called if the call fails
  void sendHello(const std::string& address, uint64_t own_id,
                 std::function<void(const v1::HelloReply&)> done);

  /// Cancels all calls, waits for their callbacks and prevents further calls.
  void end() { calls_.shutdown(); }

private:
  struct Peer {
    std::unique_ptr<v1::ControlPeer::Stub> stub;
    std::atomic<int> outstanding{0};
  };

  /// @return the peer at `address`, created if necessary; valid as long as the transport.
  Peer& peer(const std::string& address);

  const std::string own_address_;
  const std::string key_;
  const AddressOverrides address_overrides_;
  std::mutex mutex_;
  /// Guarded by mutex_.
  std::map<std::string, std::unique_ptr<Peer>> peers_;
  /// Declared last and thus destroyed first, since callbacks use the peers.
  CallsInFlight calls_;
};

} // namespace workshatch::rpc

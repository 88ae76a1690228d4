/// @file
/// Port: messages between control replicas.
#pragma once

#include <string>

#include "workshatch/v1/raft.pb.h"

namespace workshatch {

/// Sends messages to other control replicas; calls never block. Safe for concurrent use.
class ReplicaTransport {
public:
  virtual ~ReplicaTransport() = default;

  /// Sends a message to the replica at `address`. Messages may be lost, duplicated and reordered.
  virtual void send(const std::string& address, v1::RaftMessage message) = 0;
};

} // namespace workshatch

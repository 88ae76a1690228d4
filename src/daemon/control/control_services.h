/// @file
/// The gRPC services of a control replica for routers, operators and other replicas.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include <grpcpp/server.h>

#include "core/result.h"
#include "daemon/control/control_replica.h"

namespace workshatch::daemon {

/// Shared secrets that callers have to present.
struct ServiceKeys {
  /// Expected from routers and control replicas.
  std::string control_key;
  /// Expected from operators.
  std::string operator_token;
};

/// Serves calls from `listen` until destruction. Calls with a wrong key are refused, counted and
/// logged.
class ControlServices {
public:
  ControlServices(ControlReplica& replica, ServiceKeys keys);
  ~ControlServices();
  ControlServices(const ControlServices&) = delete;
  ControlServices& operator=(const ControlServices&) = delete;

  Result<std::monostate> listen(const std::string& address);
  /// @return the number of calls refused because of a wrong key.
  uint64_t refusedCalls() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace workshatch::daemon

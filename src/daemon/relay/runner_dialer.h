/// @file
/// Connects to runners.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "adapters/address_overrides.h"
#include "adapters/http/runner_connection.h"

namespace workshatch::daemon {

/// Connects to runners at the addresses at which this machine reaches them. All connections to
/// runners are made here, so that a test can cut one relay from them. Immutable; used only on one
/// event loop.
class RunnerDialer {
public:
  /// @param overrides must outlive the dialer
  explicit RunnerDialer(const AddressOverrides& overrides) : overrides_(overrides) {}

  /// @param connection a new connection; closing it ends the attempt
  /// @param address address of the runner in the list, "ip:port"
  /// @param timeout longest wait for the connection
  /// @return an error, or nothing on success.
  http::awaitable<std::optional<http::CallError>>
  dial(std::shared_ptr<http::RunnerConnection> connection, std::string address,
       std::chrono::milliseconds timeout) const;

private:
  const AddressOverrides& overrides_;
};

} // namespace workshatch::daemon

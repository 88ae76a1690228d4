#include "daemon/relay/runner_dialer.h"

namespace workshatch::daemon {

http::awaitable<std::optional<http::CallError>>
RunnerDialer::dial(std::shared_ptr<http::RunnerConnection> connection, std::string address,
                   std::chrono::milliseconds timeout) const {
  const auto endpoint = http::parseEndpoint(overrides_.resolve(address));
  if (!endpoint) {
    co_return http::CallError{.phase = http::CallPhase::NotSent,
                              .message = "not an address \"ip:port\": " + address};
  }
  co_return co_await connection->connect(*endpoint, timeout);
}

} // namespace workshatch::daemon

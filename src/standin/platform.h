/// @file
/// Stand-in for the platform: a machine list that lags behind changes, and a rate-limited store of
/// model weights.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include <nlohmann/json.hpp>

#include "adapters/http/http_server.h"

namespace workshatch::standin {

/// HTTP handler of the stand-in. Not safe for concurrent use; owned by one worker.
///
/// - `GET /v1/machines` returns the list as it was `lag_ms` ago.
/// - `PUT /v1/machines/{runner}` with a machine adds or updates it; `DELETE` removes it.
/// - `PUT /lag` with `{"lag_ms": n}` sets the lag.
/// - `GET /v1/weights/{model}` succeeds at most `weights_per_second` times a second.
class Platform {
public:
  Platform(nlohmann::json machines, int64_t lag_ms, uint32_t weights_per_second);

  http::awaitable<void> handle(http::Exchange& exchange);

private:
  /// The machine list from `at_ms` on.
  struct Version {
    int64_t at_ms = 0;
    nlohmann::json machines;
  };

  http::awaitable<void> changeMachine(http::Exchange& exchange, const std::string& runner);
  http::awaitable<void> serveWeights(http::Exchange& exchange);
  /// @return the list as it was `lag_ms` before `now_ms`; drops older versions.
  const nlohmann::json& visibleMachines(int64_t now_ms);

  int64_t lag_ms_;
  const uint32_t weights_per_second_;
  /// Oldest first. The first version is the one that is visible now.
  std::deque<Version> versions_;
  /// Second to which the count of served weights applies.
  int64_t rate_window_s_ = 0;
  uint32_t served_in_window_ = 0;
};

} // namespace workshatch::standin

/// @file
/// Stand-in for the platform: the list of live and leaving machines, which lags, and a weight store
/// that limits its rate.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include <nlohmann/json.hpp>

#include "adapters/http/http_server.h"

namespace workshatch::standin {

/// Belongs to one worker.
///
/// `GET /v1/machines` gives the list as it was `lag_ms` ago; `PUT /v1/machines/{runner}` with a
/// machine, or `DELETE`, changes it; `PUT /lag` with `{"lag_ms": n}` sets the lag;
/// `GET /v1/weights/{model}` succeeds `weights_per_second` times a second.
class Platform {
public:
  Platform(nlohmann::json machines, int64_t lag_ms, uint32_t weights_per_second);

  http::awaitable<void> handle(http::Exchange& exchange);

private:
  struct Version {
    int64_t at_ms = 0;
    nlohmann::json machines;
  };

  http::awaitable<void> changeMachine(http::Exchange& exchange, const std::string& runner);
  http::awaitable<void> serveWeights(http::Exchange& exchange);
  const nlohmann::json& visibleMachines(int64_t now_ms);

  int64_t lag_ms_;
  const uint32_t weights_per_second_;
  /// Oldest first; the first is what shows now.
  std::deque<Version> versions_;
  int64_t rate_window_s_ = 0;
  uint32_t served_in_window_ = 0;
};

} // namespace workshatch::standin

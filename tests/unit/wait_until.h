/// @file
/// Waiting for what another thread does.
#pragma once

#include <chrono>
#include <functional>
#include <thread>

namespace workshatch::test {

/// Waits until `condition` holds. @return whether it does within `limit`.
inline bool waitUntil(const std::function<bool()>& condition,
                      std::chrono::milliseconds limit = std::chrono::seconds(5)) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (!condition() && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return condition();
}

} // namespace workshatch::test

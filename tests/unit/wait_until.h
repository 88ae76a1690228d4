/// @file
/// Waiting for what another thread does.
#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <utility>

namespace workshatch::test {

/// A replica under test hands over within its election timeout of 50 ms, then its services take 500
/// ms for calls that are under way. Whatever is not over after this long waits for something that
/// does not come.
constexpr std::chrono::seconds kStopLimit{5};

/// Waits until `condition` holds. @return whether it does within `limit`.
inline bool waitUntil(const std::function<bool()>& condition,
                      std::chrono::milliseconds limit = kStopLimit) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (!condition() && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return condition();
}

/// Runs `work` on a thread of its own, which keeps what it uses if it never ends.
/// @return whether it ended within kStopLimit.
inline bool endsInTime(std::function<void()> work) {
  auto ended = std::make_shared<std::promise<void>>();
  auto future = ended->get_future();
  std::thread([work = std::move(work), ended] {
    work();
    ended->set_value();
  }).detach();
  return future.wait_for(kStopLimit) == std::future_status::ready;
}

} // namespace workshatch::test

/// @file
/// Helpers of tests that wait, with a time limit, for another thread.
#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <utility>

namespace workshatch::test {

/// Time limit for a stop. A replica under test hands over within its election timeout of 50 ms, and
/// its services then allow 500 ms for calls in progress, so a stop that takes longer is blocked.
constexpr std::chrono::seconds kStopLimit{5};

/// Polls `condition`. @return whether it became true within `limit`.
inline bool waitUntil(const std::function<bool()>& condition,
                      std::chrono::milliseconds limit = kStopLimit) {
  const auto until = std::chrono::steady_clock::now() + limit;
  bool met = condition();
  while (!met && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    met = condition();
  }
  return met;
}

/// Runs `work` on a detached thread, which keeps its captured objects alive if it never returns.
/// @return whether it returned within kStopLimit.
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

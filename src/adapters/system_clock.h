/// @file
/// Implementation of the clock port with the clocks of the operating system.
#pragma once

#include <chrono>
#include <ctime>

#include "ports/clock.h"

namespace workshatch {

class SystemClock : public Clock {
public:
  /// Uses CLOCK_BOOTTIME, which includes the time while the machine is suspended. With the steady
  /// clock, which excludes it, a lease would seem valid after a suspension in which it expired.
  int64_t monotonicMs() const override {
    constexpr int64_t kMsPerSecond = 1000;
    constexpr int64_t kNsPerMs = 1'000'000;
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return now.tv_sec * kMsPerSecond + now.tv_nsec / kNsPerMs;
  }

  uint64_t wallMs() const override {
    return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                     std::chrono::system_clock::now().time_since_epoch())
                                     .count());
  }
};

} // namespace workshatch

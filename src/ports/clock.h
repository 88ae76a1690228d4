/// @file
/// Port: time, injected so that a simulation can drive it.
#pragma once

#include <cstdint>

namespace workshatch {

/// Safe for concurrent use.
class Clock {
public:
  virtual ~Clock() = default;

  /// Milliseconds of a clock that never goes back and counts the time for which the machine sleeps.
  /// All bounds that guard others are kept by it: leases, places, paces, budgets, silences. Timers
  /// of the event loop stand still during a sleep; they only say when to look at this clock again.
  virtual int64_t monotonicMs() const = 0;

  /// Milliseconds since the epoch.
  virtual uint64_t wallMs() const = 0;
};

} // namespace workshatch

/// @file
/// Port: time source, injected so that a simulation can control it.
#pragma once

#include <cstdint>

namespace workshatch {

/// Source of time. Safe for concurrent use.
class Clock {
public:
  virtual ~Clock() = default;

  /// Milliseconds of a clock that never goes back and includes the time for which the machine is
  /// suspended. All time limits that protect other processes use it: leases, slots, rate limits,
  /// budgets and timeouts of silent peers. Timers of the event loop stop while the machine is
  /// suspended; they only determine when this clock is read again.
  virtual int64_t monotonicMs() const = 0;

  /// Milliseconds since the epoch.
  virtual uint64_t wallMs() const = 0;
};

} // namespace workshatch

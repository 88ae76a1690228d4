/// @file
/// Port: random numbers, injected so that a seed reproduces a run.
#pragma once

#include <cstdint>

namespace workshatch {

/// Source of uniformly distributed numbers. Implementations need not be safe for concurrent use.
class Random {
public:
  virtual ~Random() = default;

  /// @return a number from the full 64-bit range.
  virtual uint64_t next() = 0;

  /// @return a number in [0, bound); `bound` is at least 1.
  uint64_t below(uint64_t bound) { return next() % bound; }
};

} // namespace workshatch

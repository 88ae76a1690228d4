/// @file
/// Random numbers from the standard library's Mersenne Twister.
#pragma once

#include <random>

#include "ports/random.h"

namespace workshatch {

/// Random number generator whose sequence is determined by its seed. Not safe for concurrent use.
class SeededRandom : public Random {
public:
  explicit SeededRandom(uint64_t seed) : engine_(seed) {}

  /// @return a generator seeded by the operating system's entropy source.
  static SeededRandom fromEntropy() {
    std::random_device device;
    return SeededRandom((static_cast<uint64_t>(device()) << 32U) | device());
  }

  uint64_t next() override { return engine_(); }

private:
  std::mt19937_64 engine_;
};

} // namespace workshatch

/// @file
/// Number of planned stops that a test performs.
#pragma once

#include <cstdlib>

namespace workshatch::test {

/// @param default_count default number, small enough for a run of all tests
/// @return the value of the environment variable WORKSHATCH_STOPS if it is set, else the default
inline int stopCount(int default_count) {
  const char* value = std::getenv("WORKSHATCH_STOPS");
  return value == nullptr ? default_count : std::atoi(value);
}

} // namespace workshatch::test

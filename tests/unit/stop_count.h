/// @file
/// How many planned stops a test plays.
#pragma once

#include <cstdlib>

namespace workshatch::test {

/// @param in_each_run as many as a run of all tests bears
/// @return that, or what WORKSHATCH_STOPS asks for by hand
inline int stopCount(int in_each_run) {
  const char* asked = std::getenv("WORKSHATCH_STOPS");
  return asked == nullptr ? in_each_run : std::atoi(asked);
}

} // namespace workshatch::test

/// @file
/// Assertion macro for invariants. A broken invariant aborts the process; all other errors are
/// returned as values (see core/result.h).
#pragma once

#include <cstdio>
#include <cstdlib>

/// Writes a message to standard error and aborts the process if `condition` is false.
// NOLINTNEXTLINE(cppcoreguidelines-macro-usage): names file and line of the caller.
#define WORKSHATCH_CHECK(condition, message)                                                       \
  do {                                                                                             \
    if (!(condition)) {                                                                            \
      std::fprintf(stderr, "{\"severity\":\"fatal\",\"message\":\"%s\",\"at\":\"%s:%d\"}\n",       \
                   message, __FILE__, __LINE__);                                                   \
      std::abort();                                                                                \
    }                                                                                              \
  } while (false)

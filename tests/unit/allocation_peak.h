/// @file
/// Measures the heap memory that a piece of code needs at its peak.
#pragma once

#include <cstddef>
#include <functional>

namespace workshatch::test {

/// Runs the code and counts the heap memory that this thread allocates for it.
/// @return the highest number of bytes that were allocated at the same time and not before; zero if
/// the binary is built with a sanitizer, which brings an allocator of its own.
size_t peakAllocatedBytes(const std::function<void()>& code);

} // namespace workshatch::test

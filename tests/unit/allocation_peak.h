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

/// Begins to count the heap memory that the calling thread allocates, as for an event loop that
/// runs on it.
void beginAllocationPeak();
/// @return the highest number of bytes that the calling thread had allocated at the same time since
/// `beginAllocationPeak`, and not before; zero with a sanitizer.
size_t allocationPeak();

} // namespace workshatch::test

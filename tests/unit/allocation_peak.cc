#include "unit/allocation_peak.h"

#include <algorithm>
#include <cstdint>

#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

/// Bytes allocated and not released by this thread. Negative if the thread releases memory that
/// others allocated.
thread_local int64_t allocated_bytes = 0;
thread_local int64_t peak_bytes = 0;
/// Bytes that were allocated when the measurement began.
thread_local int64_t began_bytes = 0;

} // namespace

void* operator new(size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  allocated_bytes += static_cast<int64_t>(malloc_usable_size(memory));
  peak_bytes = std::max(peak_bytes, allocated_bytes);
  return memory;
}

void operator delete(void* memory) noexcept {
  allocated_bytes -= memory == nullptr ? 0 : static_cast<int64_t>(malloc_usable_size(memory));
  std::free(memory);
}

void operator delete(void* memory, size_t) noexcept { operator delete(memory); }

namespace workshatch::test {

void beginAllocationPeak() {
  began_bytes = allocated_bytes;
  peak_bytes = allocated_bytes;
}

size_t allocationPeak() { return static_cast<size_t>(peak_bytes - began_bytes); }

} // namespace workshatch::test

#else

namespace workshatch::test {

void beginAllocationPeak() {}

size_t allocationPeak() { return 0; }

} // namespace workshatch::test

#endif

namespace workshatch::test {

size_t peakAllocatedBytes(const std::function<void()>& code) {
  beginAllocationPeak();
  code();
  return allocationPeak();
}

} // namespace workshatch::test

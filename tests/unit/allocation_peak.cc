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

size_t peakAllocatedBytes(const std::function<void()>& code) {
  const int64_t before = allocated_bytes;
  peak_bytes = before;
  code();
  return static_cast<size_t>(peak_bytes - before);
}

} // namespace workshatch::test

#else

namespace workshatch::test {

size_t peakAllocatedBytes(const std::function<void()>& code) {
  code();
  return 0;
}

} // namespace workshatch::test

#endif

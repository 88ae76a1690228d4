/// @file
/// Tests of how large blocks are taken from the system.
#include "adapters/large_blocks.h"

#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)

#include <cstdlib>
#include <malloc.h>

#include <doctest/doctest.h>

#include "unit/child_process.h"

namespace workshatch::test {

constexpr const char* kAloneCase = "Child process: large blocks are mappings of their own";

// Alone, since free memory in the heap that earlier tests have left would be used first.
TEST_CASE(kAloneCase* doctest::skip()) {
  constexpr size_t kLargest = size_t{8} * 1024 * 1024;
  constexpr size_t kLarge = size_t{1} * 1024 * 1024;
  returnLargeBlocksAtOnce();
  // Volatile, so that the compiler does not drop what nobody uses.
  void* volatile block = std::malloc(kLargest);
  std::free(block);
  const auto mapped = ::mallinfo2().hblks;
  block = std::malloc(kLarge);
  CHECK(::mallinfo2().hblks == mapped + 1);
  std::free(block);
}

TEST_CASE("Large blocks leave holes in the heap once a larger one was released") {
  CHECK(runInChild(kAloneCase) == 0);
}

} // namespace workshatch::test

#endif

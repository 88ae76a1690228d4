#include "adapters/large_blocks.h"

#include <malloc.h>

namespace workshatch {

void returnLargeBlocksAtOnce() {
  constexpr int kLargeBlockBytes = 256 * 1024;
  // Free memory at the end of the heap that is kept. Below it, the heap neither shrinks nor grows
  // with each burst of small blocks.
  constexpr int kKeptBytes = 1024 * 1024;
  // Failures are ignored: the process works as well, with a higher peak.
  ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kKeptBytes);
}

} // namespace workshatch

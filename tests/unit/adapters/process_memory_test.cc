/// @file
/// Tests of the memory that a process reports.
#include "adapters/metrics/process_memory.h"

#include <cstring>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace workshatch::test {

constexpr uint64_t kMebibyte = uint64_t{1024} * 1024;

TEST_CASE("The growth of a process to its limit of memory leaves no line") {
  metrics::MemorySteps steps;
  CHECK_FALSE(steps.passed(10 * kMebibyte));
  CHECK(steps.passed(33 * kMebibyte));
  CHECK_FALSE(steps.passed(63 * kMebibyte));
  CHECK(steps.passed(200 * kMebibyte));
  CHECK_FALSE(steps.passed(223 * kMebibyte));
  CHECK(steps.passed(224 * kMebibyte));
}

TEST_CASE("The peak memory of a process contains what it has written to") {
  constexpr size_t kBytes = 64 * kMebibyte;
  const std::vector<char> held(kBytes, 'x');
  CHECK(metrics::peakResidentBytes() >= kBytes);
  std::string text;
  metrics::exposePeakMemory(text);
  CHECK(text.find("process_peak_memory_bytes") != std::string::npos);
  CHECK(held.back() == 'x');
}

} // namespace workshatch::test

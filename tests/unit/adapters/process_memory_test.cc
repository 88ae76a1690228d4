/// @file
/// Tests of the memory that a process reports.
#include "adapters/metrics/process_memory.h"

#include <cstdint>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "unit/child_process.h"

namespace workshatch::test {

constexpr uint64_t kMebibyte = uint64_t{1024} * 1024;
/// What the parent of a child process holds in memory.
constexpr size_t kParentBytes = 512 * kMebibyte;
constexpr const char* kChildCase = "Child process: reports less memory than its parent holds";

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
  const auto peak_bytes = metrics::peakResidentBytes();
  REQUIRE(peak_bytes);
  CHECK(*peak_bytes >= kBytes);
  std::string text;
  metrics::exposePeakMemory(text);
  CHECK(text.find("process_peak_memory_bytes") != std::string::npos);
  CHECK(held.back() == 'x');
}

TEST_CASE(kChildCase* doctest::skip()) {
  const auto peak_bytes = metrics::peakResidentBytes();
  REQUIRE(peak_bytes);
  CHECK(*peak_bytes < kParentBytes);
}

TEST_CASE("A process reports the peak memory of the one that started it") {
  const std::vector<char> held(kParentBytes, 'x');
  CHECK(runInChild(kChildCase) == 0);
  CHECK(held.back() == 'x');
}

TEST_CASE("A peak that the system does not tell is reported as zero") {
  CHECK(metrics::parsePeakResidentBytes("Name:\tx\nVmHWM:\t   31744 kB\nVmRSS:\t1 kB\n") ==
        31 * kMebibyte);
  for (const char* status :
       {"", "Name:\tx\nVmRSS:\t1 kB\n", "x\nVmHWM:", "x\nVmHWM:\t kB\n", "x\nVmHWM:\t12 MB\n"}) {
    CAPTURE(status);
    CHECK_FALSE(metrics::parsePeakResidentBytes(status));
  }
}

} // namespace workshatch::test

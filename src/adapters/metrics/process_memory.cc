#include "adapters/metrics/process_memory.h"

#include <chrono>
#include <sys/resource.h>

#include "adapters/logging/line_log.h"
#include "adapters/metrics/text_format.h"

namespace workshatch::metrics {

uint64_t peakResidentBytes() {
  constexpr uint64_t kKibibyte = 1024;
  rusage usage{};
  if (::getrusage(RUSAGE_SELF, &usage) != 0) {
    return 0;
  }
  return static_cast<uint64_t>(usage.ru_maxrss) * kKibibyte;
}

void exposePeakMemory(std::string& out) {
  exposeGauge(out, "process_peak_memory_bytes", "most memory that was resident at once",
              static_cast<int64_t>(peakResidentBytes()));
}

bool MemorySteps::passed(uint64_t peak_bytes) {
  if (peak_bytes < next_step_) {
    return false;
  }
  next_step_ = (peak_bytes / kStepBytes + 1) * kStepBytes;
  return true;
}

void MemoryWatch::start() {
  constexpr std::chrono::seconds kPeriod{1};
  const uint64_t peak_bytes = peakResidentBytes();
  if (steps_.passed(peak_bytes)) {
    line_log::write("memory_grew", {{"peak_bytes", peak_bytes}});
    // The process may be killed before the next periodic flush.
    line_log::flush();
  }
  timer_.expires_after(kPeriod);
  timer_.async_wait([this](boost::system::error_code failure) {
    if (!failure) {
      start();
    }
  });
}

} // namespace workshatch::metrics

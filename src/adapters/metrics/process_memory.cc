#include "adapters/metrics/process_memory.h"

#include <array>
#include <charconv>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>

#include "adapters/logging/line_log.h"
#include "adapters/metrics/text_format.h"

namespace workshatch::metrics {

std::optional<uint64_t> parsePeakResidentBytes(std::string_view status) {
  constexpr std::string_view kName = "\nVmHWM:";
  constexpr uint64_t kKibibyte = 1024;
  const size_t name_at = status.find(kName);
  const size_t digits_at = name_at == std::string_view::npos
                               ? name_at
                               : status.find_first_not_of(" \t", name_at + kName.size());
  if (digits_at == std::string_view::npos) {
    return std::nullopt;
  }
  uint64_t kibibytes = 0;
  const char* const end = status.data() + status.size();
  const auto [rest, failure] = std::from_chars(status.data() + digits_at, end, kibibytes);
  const bool has_unit = std::string_view(rest, static_cast<size_t>(end - rest)).starts_with(" kB");
  if (failure != std::errc() || !has_unit) {
    return std::nullopt;
  }
  return kibibytes * kKibibyte;
}

std::optional<uint64_t> peakResidentBytes() {
  const int file = ::open("/proc/self/status", O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    return std::nullopt;
  }
  std::array<char, 4096> text{};
  const ssize_t bytes = ::read(file, text.data(), text.size());
  ::close(file);
  if (bytes <= 0) {
    return std::nullopt;
  }
  return parsePeakResidentBytes(std::string_view(text.data(), static_cast<size_t>(bytes)));
}

void exposePeakMemory(std::string& out) {
  if (const auto peak_bytes = peakResidentBytes()) {
    exposeGauge(out, "process_peak_memory_bytes", "most memory that was resident at once",
                static_cast<int64_t>(*peak_bytes));
  }
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
  const auto peak_bytes = peakResidentBytes();
  if (!peak_bytes) {
    line_log::write("memory_unknown", nlohmann::json::object());
    return;
  }
  if (steps_.passed(*peak_bytes)) {
    line_log::write("memory_grew", {{"peak_bytes", *peak_bytes}});
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

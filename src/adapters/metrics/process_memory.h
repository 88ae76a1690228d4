/// @file
/// The memory of this process as the system counts it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace workshatch::metrics {

/// @return the most memory of this process that was resident at once since its program was loaded,
/// in bytes; nullopt if the system does not tell. Source: VmHWM in /proc/self/status. The peak of
/// getrusage includes that of the process which loaded the program.
std::optional<uint64_t> peakResidentBytes();

/// @param status text of /proc/self/status
/// @return the peak in it, in bytes; nullopt if it has none.
std::optional<uint64_t> parsePeakResidentBytes(std::string_view status);

/// Appends the gauge of the peak; nothing if it is not known.
void exposePeakMemory(std::string& out);

/// Says at which peaks of memory a line is due, so that the log of a process that was killed for
/// its memory shows the growth: at each step that is passed.
///
/// Not safe for concurrent use.
class MemorySteps {
public:
  /// @return whether the peak passed another step since the last call.
  bool passed(uint64_t peak_bytes);

private:
  static constexpr uint64_t kStepBytes = uint64_t{32} * 1024 * 1024;

  uint64_t next_step_ = kStepBytes;
};

/// Checks the peak every second on its event loop, from `start` until it is destroyed or the loop
/// ends, and writes the line "memory_grew" for each step. If the peak is not known, it writes
/// "memory_unknown" once and ends.
class MemoryWatch {
public:
  explicit MemoryWatch(boost::asio::io_context& context) : timer_(context) {}

  void start();

private:
  MemorySteps steps_;
  boost::asio::steady_timer timer_;
};

} // namespace workshatch::metrics

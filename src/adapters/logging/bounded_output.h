/// @file
/// Buffered, non-blocking output of log lines to a reader that may be slow or have stopped reading.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace workshatch::logging {

/// Buffers lines until the reader accepts them. It never blocks: a thread that waited for the
/// reader would hang, and a planned stop of the process with it. Lines that do not fit into the
/// buffer are dropped and counted. Not safe for concurrent use.
class BoundedOutput {
public:
  /// @param descriptor file descriptor to write to; not owned
  explicit BoundedOutput(int descriptor) : descriptor_(descriptor) {}

  /// Called before each line. @return whether the buffer has room for it; if not, the line is
  /// counted as dropped and must not be added.
  bool tryReserveLine();
  /// Appends a line to the buffer. The line must end with a line feed.
  void add(std::string_view line) { buffer_ += line; }
  /// Writes as much as is possible without blocking.
  void flush();

  bool empty() const { return buffer_.empty(); }
  uint64_t droppedLines() const { return dropped_; }
  /// @return the number of lines dropped since the last call.
  uint64_t takeUnreportedDrops();

private:
  bool isWritable() const;

  const int descriptor_;
  std::string buffer_;
  uint64_t dropped_ = 0;
  uint64_t dropped_reported_ = 0;
};

} // namespace workshatch::logging

/// @file
/// Lines for a reader that may be slow, or have stopped reading.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace workshatch::logging {

/// Keeps lines until the reader takes them. Never waits for the reader: a thread that did would
/// stand still, and a planned stop with it. What does not fit is dropped and counted. Not safe for
/// concurrent use.
class BoundedOutput {
public:
  /// @param descriptor where the lines go; not owned.
  explicit BoundedOutput(int descriptor) : descriptor_(descriptor) {}

  /// @return whether another line is kept; if not, it counts as dropped.
  bool tryReserveLine();
  /// Keeps a line, which ends with a line feed.
  void add(std::string_view line) { buffer_ += line; }
  /// Writes as much as the reader takes now.
  void flush();

  bool empty() const { return buffer_.empty(); }
  uint64_t droppedLines() const { return dropped_; }
  /// @return lines dropped since the last call that returned some.
  uint64_t takeUnreportedDrops();

private:
  bool isWritable() const;

  const int descriptor_;
  std::string buffer_;
  uint64_t dropped_ = 0;
  uint64_t dropped_reported_ = 0;
};

} // namespace workshatch::logging

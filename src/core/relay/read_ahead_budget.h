/// @file
/// Limits the bytes of runners' answers that a relay buffers for callers that read slowly.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace workshatch::relay {

struct ReadAheadLimits {
  /// Maximum number of bytes buffered for all callers of the process.
  size_t process_bytes = size_t{16} * 1024 * 1024;
  /// Watermarks of the bytes buffered for one caller: at `high_bytes` the relay stops reading from
  /// the runner, and it resumes once the caller has read down to `low_bytes`.
  size_t high_bytes = size_t{256} * 1024;
  size_t low_bytes = size_t{128} * 1024;
};

/// Counts the bytes that are buffered for callers that have not read them yet; a second one counts
/// those of responses that have not arrived completely.
///
/// A runner cuts off a connection when its answer stays unread for some seconds, and keeps the
/// answer in its own memory until then. Therefore a relay reads ahead of a caller that pauses, up
/// to a limit for each caller and one for the process. When the process exceeds its limit, the
/// reader with the most buffered bytes is cancelled; among equals the one that has read least,
/// because it is the least likely to get its answer in time.
///
/// Not safe for concurrent use.
class ReadAheadBudget {
public:
  using Reader = uint64_t;
  /// Called once when the reader must be cancelled.
  using CancelCallback = std::function<void()>;

  explicit ReadAheadBudget(ReadAheadLimits limits) : limits_(limits) {}

  Reader open(CancelCallback cancel);
  void close(Reader reader);

  /// Sets the bytes that are buffered for a reader and the bytes that it has read so far. May
  /// cancel readers, including this one.
  void update(Reader reader, size_t buffered_bytes, uint64_t read_bytes);

  /// @return whether the relay must stop reading from the reader's runner.
  bool isFull(size_t buffered_bytes) const { return buffered_bytes >= limits_.high_bytes; }
  size_t lowBytes() const { return limits_.low_bytes; }

  size_t bufferedBytes() const { return buffered_bytes_; }
  size_t readers() const { return readers_.size(); }
  uint64_t cancelledReaders() const { return cancelled_readers_; }

private:
  struct ReaderState {
    CancelCallback cancel;
    size_t buffered_bytes = 0;
    uint64_t read_bytes = 0;
  };

  void cancelLargest();

  const ReadAheadLimits limits_;
  std::map<Reader, ReaderState> readers_;
  Reader next_reader_ = 1;
  size_t buffered_bytes_ = 0;
  uint64_t cancelled_readers_ = 0;
};

} // namespace workshatch::relay

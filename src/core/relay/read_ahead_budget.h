/// @file
/// How much of runners' answers a relay holds for callers that read slowly.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace workshatch::relay {

struct ReadAheadLimits {
  /// Bytes held for all callers of the process.
  size_t process_bytes = size_t{16} * 1024 * 1024;
  /// Bytes held for one caller, from which its runner is read no further, and down to which the
  /// caller has to read until it is again.
  size_t high_bytes = size_t{256} * 1024;
  size_t low_bytes = size_t{128} * 1024;
};

/// Counts what is held for callers that have not read it yet.
///
/// A runner whose answer stays unread cuts it off after some seconds, and holds it in its own
/// memory until then. So a relay reads ahead of a caller that pauses, up to a bound for each caller
/// and one for the process. At the process's bound the caller that holds most is cut; of those that
/// hold as much, the one that has read least: it is the least likely to get its answer in time.
///
/// Not safe for concurrent use.
class ReadAheadBudget {
public:
  using Reader = uint64_t;
  /// Runs when the reader is to be cut, once.
  using CancelCallback = std::function<void()>;

  explicit ReadAheadBudget(ReadAheadLimits limits) : limits_(limits) {}

  Reader open(CancelCallback cut);
  void close(Reader reader);

  /// Notes what is held for a reader now, and what it has read so far. May cut a reader, this one
  /// included.
  void update(Reader reader, size_t held_bytes, uint64_t read_bytes);

  /// @return whether the reader's runner shall be read no further.
  bool isFull(size_t held_bytes) const { return held_bytes >= limits_.high_bytes; }
  size_t lowBytes() const { return limits_.low_bytes; }

  size_t bufferedBytes() const { return held_bytes_; }
  size_t readers() const { return readers_.size(); }
  uint64_t cancelledReaders() const { return cuts_; }

private:
  struct Held {
    CancelCallback cut;
    size_t held_bytes = 0;
    uint64_t read_bytes = 0;
  };

  void cutLargest();

  const ReadAheadLimits limits_;
  std::map<Reader, Held> readers_;
  Reader next_reader_ = 1;
  size_t held_bytes_ = 0;
  uint64_t cuts_ = 0;
};

} // namespace workshatch::relay

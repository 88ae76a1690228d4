/// @file
/// Measures the pauses between the events of one stream.
#pragma once

#include <algorithm>
#include <cstdint>

namespace workshatch::relay {

/// Records when the events of a stream are received, and which of the pauses between them was the
/// longest, so that a late first event can be told from a pause in the middle of a stream.
///
/// While the relay does not read from the runner, because its caller reads slowly, no event can be
/// received. This time is the caller's and is not part of a pause.
///
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class EventPauses {
public:
  /// Records the next event.
  /// @return the pause before it; 0 for the first event.
  int64_t recordEvent(int64_t received_ms) {
    ++events_;
    const int64_t pause_ms = events_ == 1 ? 0 : std::max<int64_t>(received_ms - since_ms_, 0);
    since_ms_ = events_ == 1 ? received_ms : std::max(since_ms_, received_ms);
    if (pause_ms > longest_ms_) {
      longest_ms_ = pause_ms;
      event_after_longest_ = events_;
    }
    return pause_ms;
  }

  /// Records that the relay reads from the runner again after it has waited for its caller.
  void recordReadingResumed(int64_t now_ms) { since_ms_ = std::max(since_ms_, now_ms); }

  int64_t longestMs() const { return longest_ms_; }
  /// @return the number of the event after the longest pause, counted from 1; 0 if there was none.
  uint32_t eventAfterLongest() const { return event_after_longest_; }

private:
  uint32_t events_ = 0;
  /// When the last event was received, or reading was resumed after it.
  int64_t since_ms_ = 0;
  int64_t longest_ms_ = 0;
  uint32_t event_after_longest_ = 0;
};

} // namespace workshatch::relay

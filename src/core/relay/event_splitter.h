/// @file
/// Splits an opaque event stream (text/event-stream) into complete events.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace workshatch::relay {

/// One event, byte for byte as the runner sent it, with the blank line that ends it.
struct CompleteEvent {
  std::string bytes;
  /// Value of the event's `id` field; empty if it has none.
  std::string id;
};

/// Accepts the bytes of a stream in pieces of any size and returns complete events, byte for byte.
///
/// Guarantee: it buffers at most the limit of an event and one more piece, if all complete events
/// are taken out after each piece. A stream without the end of an event must be given up then.
/// Not safe for concurrent use.
class EventSplitter {
public:
  /// @param max_event_bytes longest event, in bytes
  explicit EventSplitter(size_t max_event_bytes) : max_event_bytes_(max_event_bytes) {}

  void feed(std::string_view bytes) { buffer_.append(bytes); }

  /// @return the next complete event, or nothing if more bytes are needed.
  std::optional<CompleteEvent> next();

  /// @return whether bytes of an incomplete event are buffered.
  bool hasPartialEvent() const { return !buffer_.empty(); }
  size_t partialBytes() const { return buffer_.size(); }
  /// Frees the memory of a stream that is given up.
  void drop();
  /// @return the memory that the buffer takes.
  size_t heldBytes() const { return buffer_.capacity(); }
  /// @return whether the incomplete event is longer than an event may be.
  bool isTooLong() const { return buffer_.size() > max_event_bytes_; }

private:
  const size_t max_event_bytes_;
  std::string buffer_;
  /// Position at which the search for the end of the event continues.
  size_t searched_ = 0;
};

} // namespace workshatch::relay

/// @file
/// Splits an opaque event stream (text/event-stream) into whole events.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace workshatch::relay {

/// One event as its runner wrote it, blank line included.
struct CompleteEvent {
  std::string bytes;
  /// Value of the event's `id` field; empty: it has none.
  std::string id;
};

/// Takes the bytes of a stream in any parts and gives whole events, byte for byte.
/// Not safe for concurrent use.
class EventSplitter {
public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }

  /// The next whole event, if there is one.
  std::optional<CompleteEvent> next();

  /// @return whether bytes of an unfinished event are left.
  bool hasPartialEvent() const { return !buffer_.empty(); }

private:
  std::string buffer_;
  /// Where the search for the event's end goes on.
  size_t searched_ = 0;
};

} // namespace workshatch::relay

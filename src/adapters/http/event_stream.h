/// @file
/// Parser and formatter for server-sent events (text/event-stream).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace workshatch::http {

struct ServerSentEvent {
  std::string id;
  std::string data;
};

/// Incremental parser: accepts the bytes of a stream in pieces of any size and returns complete
/// events. Events without data are skipped.
///
/// Guarantee: it buffers at most the limit of an event and one more piece, if all complete events
/// are taken out after each piece and a stream with a longer event is given up.
class EventStreamParser {
public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }

  /// @return the next complete event, or nothing until more bytes are fed.
  std::optional<ServerSentEvent> next();

  /// @return whether the incomplete event is longer than an event may be.
  bool isTooLong() const { return buffer_.size() > kMaxEventBytes; }

private:
  static constexpr size_t kMaxEventBytes = size_t{1} * 1024 * 1024;

  std::string buffer_;
};

/// @return the event in the stream format, with the blank line that ends it.
std::string formatEvent(const ServerSentEvent& event);

/// Data of the event that marks the end of a stream of completions.
inline constexpr std::string_view kDoneData = "[DONE]";

} // namespace workshatch::http

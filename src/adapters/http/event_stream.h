/// @file
/// Parser and formatter for server-sent events (text/event-stream).
#pragma once

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
class EventStreamParser {
public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }

  /// @return the next complete event, or nothing until more bytes are fed.
  std::optional<ServerSentEvent> next();

private:
  std::string buffer_;
};

/// @return the event in the stream format, with the blank line that ends it.
std::string formatEvent(const ServerSentEvent& event);

/// Data of the event that marks the end of a stream of completions.
inline constexpr std::string_view kDoneData = "[DONE]";

} // namespace workshatch::http

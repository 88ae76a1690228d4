#include "adapters/http/event_stream.h"

namespace workshatch::http {

namespace {

std::string_view valueOf(std::string_view line, size_t name_length) {
  std::string_view value = line.substr(name_length + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return value;
}

void parseLine(std::string_view line, ServerSentEvent& event) {
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.starts_with("id:")) {
    event.id = valueOf(line, 2);
  } else if (line.starts_with("data:")) {
    if (!event.data.empty()) {
      event.data += '\n';
    }
    event.data += valueOf(line, 4);
  }
}

} // namespace

std::optional<ServerSentEvent> EventStreamParser::next() {
  while (true) {
    const size_t end = buffer_.find("\n\n");
    if (end == std::string::npos) {
      return std::nullopt;
    }
    const std::string block = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    ServerSentEvent event;
    size_t start = 0;
    while (start <= block.size()) {
      const size_t line_end = std::min(block.find('\n', start), block.size());
      parseLine(std::string_view(block).substr(start, line_end - start), event);
      start = line_end + 1;
    }
    if (!event.data.empty()) {
      return event;
    }
  }
}

std::string formatEvent(const ServerSentEvent& event) {
  std::string text;
  if (!event.id.empty()) {
    text += "id: " + event.id + "\n";
  }
  return text + "data: " + event.data + "\n\n";
}

} // namespace workshatch::http

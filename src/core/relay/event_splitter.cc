#include "core/relay/event_splitter.h"

#include <utility>

namespace workshatch::relay {

namespace {

/// An empty buffer with more capacity than this is freed, so that one long event does not take
/// memory for as long as its stream lasts.
constexpr size_t kMaxIdleCapacity = size_t{16} * 1024;

/// @return the length of the line terminator at `at` (LF or CR LF); 0 if there is none.
size_t lineEndAt(std::string_view text, size_t at) {
  if (at < text.size() && text[at] == '\n') {
    return 1;
  }
  if (at + 1 < text.size() && text[at] == '\r' && text[at + 1] == '\n') {
    return 2;
  }
  return 0;
}

std::string idOf(std::string_view event) {
  std::string id;
  size_t at = 0;
  while (at < event.size()) {
    size_t end = event.find('\n', at);
    end = end == std::string_view::npos ? event.size() : end;
    std::string_view line = event.substr(at, end - at);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with("id:")) {
      line.remove_prefix(3);
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      id = std::string(line);
    }
    at = end + 1;
  }
  return id;
}

} // namespace

void EventSplitter::drop() {
  std::string().swap(buffer_);
  searched_ = 0;
}

std::optional<CompleteEvent> EventSplitter::next() {
  while (true) {
    const size_t line_end = buffer_.find('\n', searched_);
    if (line_end == std::string::npos) {
      searched_ = buffer_.size();
      return std::nullopt;
    }
    const size_t blank = lineEndAt(buffer_, line_end + 1);
    if (blank == 0) {
      const bool undecided = line_end + 1 >= buffer_.size() ||
                             (buffer_[line_end + 1] == '\r' && line_end + 2 >= buffer_.size());
      if (undecided) {
        searched_ = line_end;
        return std::nullopt;
      }
      searched_ = line_end + 1;
      continue;
    }
    const size_t length = line_end + 1 + blank;
    CompleteEvent event;
    event.bytes = buffer_.substr(0, length);
    event.id = idOf(event.bytes);
    buffer_.erase(0, length);
    if (buffer_.empty() && buffer_.capacity() > kMaxIdleCapacity) {
      drop();
    }
    searched_ = 0;
    return event;
  }
}

} // namespace workshatch::relay

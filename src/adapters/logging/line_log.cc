#include "adapters/logging/line_log.h"

#include <chrono>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace workshatch::line_log {

namespace {

constexpr size_t kMostBufferedBytes = size_t{64} * 1024;

struct Log {
  std::string process;
  std::string role;
  std::string buffer;
  uint64_t dropped = 0;
  uint64_t dropped_reported = 0;
};

/// The process has one standard output, so one log.
Log& theLog() {
  static Log log;
  return log;
}

uint64_t wallMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

bool readerTakesMore() {
  pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
  return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

} // namespace

void initialize(std::string process, std::string role) {
  theLog().process = std::move(process);
  theLog().role = std::move(role);
}

void write(std::string_view event, const nlohmann::json& fields) {
  Log& log = theLog();
  if (log.buffer.size() >= kMostBufferedBytes) {
    ++log.dropped;
    return;
  }
  nlohmann::json line = fields.is_object() ? fields : nlohmann::json::object();
  line["time_ms"] = wallMs();
  line["process"] = log.process;
  line["role"] = log.role;
  line["event"] = event;
  if (log.dropped != log.dropped_reported) {
    line["dropped_lines"] = log.dropped;
    log.dropped_reported = log.dropped;
  }
  log.buffer += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  log.buffer += '\n';
}

void flush() {
  Log& log = theLog();
  size_t written = 0;
  while (written < log.buffer.size() && readerTakesMore()) {
    // A pipe that polls writable takes PIPE_BUF bytes without blocking.
    const size_t part = std::min<size_t>(log.buffer.size() - written, PIPE_BUF);
    const ssize_t count = ::write(STDOUT_FILENO, log.buffer.data() + written, part);
    if (count <= 0) {
      break;
    }
    written += static_cast<size_t>(count);
  }
  log.buffer.erase(0, written);
}

uint64_t droppedLines() { return theLog().dropped; }

} // namespace workshatch::line_log

#include "adapters/logging/line_log.h"

#include <chrono>
#include <mutex>
#include <unistd.h>
#include <utility>

#include "adapters/logging/bounded_output.h"

namespace workshatch::line_log {

namespace {

struct Log {
  /// Guards the other members, since several event loops of one process may log.
  std::mutex mutex;
  std::string process;
  std::string role;
  logging::BoundedOutput output{STDOUT_FILENO};
};

/// The log of the process, which has one standard output.
Log& sharedLog() {
  static Log log;
  return log;
}

uint64_t wallMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

void initialize(std::string process, std::string role) {
  Log& log = sharedLog();
  const std::lock_guard lock(log.mutex);
  log.process = std::move(process);
  log.role = std::move(role);
}

void write(std::string_view event, const nlohmann::json& fields) {
  Log& log = sharedLog();
  const std::lock_guard lock(log.mutex);
  if (!log.output.tryReserveLine()) {
    return;
  }
  nlohmann::json line = fields.is_object() ? fields : nlohmann::json::object();
  line["time_ms"] = wallMs();
  line["process"] = log.process;
  line["role"] = log.role;
  line["event"] = event;
  if (const uint64_t dropped = log.output.takeUnreportedDrops(); dropped != 0) {
    line["dropped_lines"] = dropped;
  }
  log.output.add(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n');
}

void flush() {
  Log& log = sharedLog();
  const std::lock_guard lock(log.mutex);
  log.output.flush();
}

uint64_t droppedLines() {
  Log& log = sharedLog();
  const std::lock_guard lock(log.mutex);
  return log.output.droppedLines();
}

} // namespace workshatch::line_log

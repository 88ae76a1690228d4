#include "adapters/logging/json_log.h"

#include <chrono>
#include <ctime>
#include <mutex>
#include <string>
#include <thread>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "adapters/logging/bounded_output.h"

namespace workshatch::logging {

namespace {

/// How long an exiting process waits until its last lines are written.
constexpr std::chrono::milliseconds kFinishLimit{500};
constexpr std::chrono::milliseconds kFinishPoll{5};

struct Log {
  /// Set before any thread starts.
  std::string process;
  std::mutex mutex;
  /// Guarded by mutex.
  BoundedOutput output{STDERR_FILENO};
};

/// The log of the process, which has one standard error. It is never destroyed, since threads may
/// log until the process exits.
Log& sharedLog() {
  static Log* const log = new Log;
  return *log;
}

std::string timestamp() {
  const auto now = std::chrono::system_clock::now();
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
  constexpr int64_t kMicrosPerSecond = 1'000'000;
  const auto seconds = static_cast<time_t>(micros / kMicrosPerSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[sizeof("2026-01-01T00:00:00.000000Z")];
  const size_t length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text + length, sizeof(text) - length, ".%06dZ",
                static_cast<int>(micros % kMicrosPerSecond));
  return text;
}

const char* nameOf(Severity severity) {
  switch (severity) {
  case Severity::Warning:
    return "warning";
  case Severity::Error:
    return "error";
  default:
    return "info";
  }
}

std::string textOf(const nlohmann::json& line) {
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
}

} // namespace

void initialize(std::string_view process) { sharedLog().process = process; }

void write(Severity severity, std::string_view event, const nlohmann::json& fields) {
  Log& log = sharedLog();
  nlohmann::json line = fields;
  line["time"] = timestamp();
  line["severity"] = nameOf(severity);
  line["process"] = log.process;
  line["event"] = event;
  // Serialized before taking the lock, which all workers share.
  std::string text = textOf(line);
  const std::lock_guard lock(log.mutex);
  if (log.output.tryReserveLine()) {
    if (const uint64_t dropped = log.output.takeUnreportedDrops(); dropped != 0) {
      line["dropped_lines"] = dropped;
      text = textOf(line);
    }
    log.output.add(text);
  }
  log.output.flush();
}

void finish() {
  Log& log = sharedLog();
  const auto until = std::chrono::steady_clock::now() + kFinishLimit;
  while (std::chrono::steady_clock::now() < until) {
    {
      const std::lock_guard lock(log.mutex);
      log.output.flush();
      if (log.output.empty()) {
        return;
      }
    }
    std::this_thread::sleep_for(kFinishPoll);
  }
}

} // namespace workshatch::logging

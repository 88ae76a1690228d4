/// @file
/// A child process that a scenario starts, kills, freezes and stops.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

#include "core/result.h"
#include "scenario/log_copier.h"

namespace workshatch::scenario {

/// Resource usage of a process.
struct ResourceUsage {
  /// Resident memory.
  uint64_t memory_kb = 0;
  /// Open file descriptors.
  uint64_t descriptors = 0;
};

/// Runs at most one process at a time. The process is killed when this object is destroyed or the
/// driver ends.
class Process {
public:
  /// @param command path of the executable, then its arguments
  /// @param log_path file to which standard output and standard error are appended
  Process(std::vector<std::string> command, std::string log_path);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  Result<std::monostate> start();
  bool running();

  void kill();
  void freeze();
  void thaw();
  /// Limits the size of the files that the process writes, to simulate a full disk.
  Result<std::monostate> limitFileSize(uint64_t bytes);
  Result<std::monostate> unlimitFileSize();
  /// Requests a graceful stop (SIGTERM) and returns without waiting for it.
  void requestStop();
  /// @return the current usage, or nothing if the process is not running or cannot be inspected.
  std::optional<ResourceUsage> resourceUsage();
  /// @return whether the process has exited; `exitCode` is then valid.
  bool hasExited();
  int exitCode() const { return exit_code_; }

private:
  /// Collects the exit status if the process has exited; with `wait`, blocks until it has.
  void reap(bool wait);

  const std::vector<std::string> command_;
  const std::string log_path_;
  /// Zero if no process is running.
  pid_t pid_ = 0;
  int exit_code_ = 0;
  /// Runs until the process has exited.
  std::unique_ptr<LogCopier> log_;
};

} // namespace workshatch::scenario

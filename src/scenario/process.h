/// @file
/// Processes that a scenario starts, kills, freezes and stops.
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

/// What a process takes of the machine.
struct ResourceUsage {
  uint64_t memory_kb = 0;
  uint64_t descriptors = 0;
};

/// One process at a time under a name; it ends with the driver.
class Process {
public:
  /// @param log_path standard output and error are appended there.
  Process(std::vector<std::string> command, std::string log_path);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  Result<std::monostate> start();
  bool running();

  void kill();
  void freeze();
  void thaw();
  /// Lets no file of the process grow beyond `bytes`, like a disk that is full.
  Result<std::monostate> limitFileSize(uint64_t bytes);
  Result<std::monostate> unlimitFileSize();
  /// Asks for a planned stop; `waitStopped` sees its end.
  void requestStop();
  /// @return nothing when it does not run, or its figures can't be read.
  std::optional<ResourceUsage> resourceUsage();
  /// @return whether the process has ended; its exit code is then known.
  bool hasExited();
  int exitCode() const { return exit_code_; }

private:
  void reap(bool wait);

  const std::vector<std::string> command_;
  const std::string log_path_;
  pid_t pid_ = 0;
  int exit_code_ = 0;
  /// Ends after the process.
  std::unique_ptr<LogCopier> log_;
};

} // namespace workshatch::scenario

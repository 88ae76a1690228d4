/// @file
/// Copies the output of a process from a pipe to its log file.
#pragma once

#include <string>
#include <thread>

namespace workshatch::scenario {

/// Copies in its own thread until the pipe is closed. The process does not write the log file
/// itself because scenarios limit its file size to simulate a full disk, which must not affect the
/// log.
class LogCopier {
public:
  /// @param pipe descriptor of the pipe's read end; this object takes ownership
  /// @param path file to append to
  LogCopier(int pipe, const std::string& path);
  /// Blocks until all writers have closed the pipe.
  ~LogCopier();
  LogCopier(const LogCopier&) = delete;
  LogCopier& operator=(const LogCopier&) = delete;

private:
  std::thread thread_;
};

} // namespace workshatch::scenario

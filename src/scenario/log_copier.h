/// @file
/// Copies what a process writes on a pipe into its log file.
#pragma once

#include <string>
#include <thread>

namespace workshatch::scenario {

/// The process itself writes to no log file, so that a limit on the size of its files, which stands
/// for a disk that refuses writes, does not meet its log. One thread, which ends with the pipe.
class LogCopier {
public:
  /// @param pipe its reading end; owned from now on.
  /// @param path file that is appended to.
  LogCopier(int pipe, const std::string& path);
  /// Waits for the end of the pipe: all its writers have ended.
  ~LogCopier();
  LogCopier(const LogCopier&) = delete;
  LogCopier& operator=(const LogCopier&) = delete;

private:
  std::thread thread_;
};

} // namespace workshatch::scenario

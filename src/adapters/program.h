/// @file
/// Command line flags, exit codes and the wait for a stop signal, shared by all programs.
#pragma once

#include <string>

namespace workshatch {

/// Exit codes of all programs.
enum ExitCode {
  kExitOk = 0,
  /// Failure that a retry may overcome. Also a difference found by `diff`, or no line found by
  /// `trace`.
  kExitFailure = 1,
  /// Bad flags, settings or declarations.
  kExitUsage = 2,
  /// A concurrent change was committed first, or a request id was used twice.
  kExitConflict = 3,
  /// The change is committed, but not active on all processes yet.
  kExitPending = 4,
  /// No control leader was reachable.
  kExitUnavailable = 5,
};

/// Parses the flags. `--help` and `--version` print their output and exit with code 0.
/// @param usage text that `--help` prints before the flags
/// @param main_file name of the source file whose flags `--help` lists
void parseProgramFlags(int* argc, char*** argv, const std::string& usage,
                       const std::string& main_file);

/// Waits for SIGTERM or SIGINT, which must be blocked (see process_signals.h). SIGHUP stays
/// blocked, and thereby has no effect on programs that call this.
void awaitStopSignal();

} // namespace workshatch

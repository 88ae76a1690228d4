/// @file
/// Signals of a process, shared by all programs: which ones it handles itself, and which ones it
/// ignores. Uses no command line flags, so that each program can link it.
#pragma once

#include <csignal>

namespace workshatch {

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in threads that it starts later: those that
/// arrive stay pending until a handler or a wait takes them. Ignores SIGPIPE and SIGXFSZ, so that a
/// write to a closed connection, or beyond a file size limit, fails instead of ending the process.
/// Called before anything else in `main`.
void blockHandledSignals();

/// Delivers the signals that `blockHandledSignals` blocked to this thread. Called once their
/// handlers are installed.
void unblockHandledSignals();

/// @return the signals that end a program in a planned way: SIGTERM and SIGINT.
sigset_t stopSignals();

} // namespace workshatch

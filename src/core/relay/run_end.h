/// @file
/// What shows that a run of a request at a runner has ended.
#pragma once

namespace workshatch::relay {

/// What shows that a run of a request at a runner has ended, or can't be reached from this machine.
/// A stream may go on at another runner only then: a runner that does not respond may still be at
/// work on it, and so may one whose connection is closed, by whichever side.
enum class RunEnd {
  /// Nothing shows it.
  Unknown,
  /// The runner has responded completely, or with a final error.
  Answered,
  /// The process of the runner has ended: it has left the list of runners, or has closed all
  /// connections and refuses another one, or another process is at its address.
  ProcessEnded,
  /// The runner's report does not contain the run any more (`RunEndEvidence`).
  NotReported,
  /// The runner's machine does not respond to what is sent, or to a new connection.
  OutOfReach,
};

/// @return the name in logs.
const char* nameOf(RunEnd end);

} // namespace workshatch::relay

/// @file
/// What shows that a run of a request at a runner has ended.
#pragma once

namespace workshatch::relay {

/// What shows that a run of a request at a runner has ended, or can't be reached from this machine.
/// A stream may go on at another runner only then: a runner that does not respond, or whose
/// connection this relay has closed, may still be at work on it.
enum class RunEnd {
  /// Nothing shows it.
  Unknown,
  /// The runner has responded completely, or with a final error.
  Answered,
  /// The runner has closed the connection of the request.
  ClosedByRunner,
  /// The process of the runner has ended: it has left the list of runners.
  ProcessEnded,
  /// The runner's machine does not respond to what is sent, or to a new connection.
  OutOfReach,
};

/// @return the name in logs.
const char* nameOf(RunEnd end);

} // namespace workshatch::relay

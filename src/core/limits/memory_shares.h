/// @file
/// Shares the memory of one process among what others can make it hold.
#pragma once

#include <cstddef>
#include <cstdint>

namespace workshatch::limits {

/// Maximum numbers of bytes held at the same time, each over the whole process.
///
/// Load pattern: many small requests and responses; occasionally a burst of large ones, runners
/// that send without end, and callers that do not read.
/// Guarantee: with a known limit of the process, the shares of a relay together, and the share of a
/// process that serves operators, leave at least `kUnsharedFraction` of it.
/// Limits: the shares hold bodies and events. The program itself, its tables, the heads and
/// connections, the copy of a body whose buffer grows, and the buffers of the operating system are
/// in the part that is not shared.
struct MemoryShares {
  /// Bodies of callers' and of forwarded requests, and the part of it that only small ones may use.
  size_t request_bytes = 0;
  size_t small_request_bytes = 0;
  /// Responses of runners and relays that have not arrived completely or are not sent on yet.
  size_t answer_bytes = 0;
  /// Events that callers have not read yet.
  size_t read_ahead_bytes = 0;
  /// Bodies of operators' calls, in a process that serves operators and no callers.
  size_t operator_bytes = 0;
};

/// Fraction of the memory of a process that is not shared out.
inline constexpr double kUnsharedFraction = 0.35;

/// @param memory_bytes limit of the process; zero: none is known
/// @return the shares, each of which has an upper limit that more memory does not raise.
MemoryShares sharesOf(uint64_t memory_bytes);

} // namespace workshatch::limits

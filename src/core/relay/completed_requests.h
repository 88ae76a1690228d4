/// @file
/// Requests that a runner has run whole lately.
#pragma once

#include <cstdint>
#include <set>

#include "core/relay/request_identity.h"

namespace workshatch::relay {

/// Remembers requests that were answered with success, for 30 to 60 seconds.
///
/// Load pattern: clients that ask the same thing every few seconds have it in progress on many
/// runners at any moment. When several runners lose power together, that request was running on
/// each of them; what clears it is that it ran whole before.
///
/// Memory is bounded however many different requests come: many new ones push old ones out, which
/// takes their protection away and nothing else.
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class CompletedRequests {
public:
  void record(const RequestIdentity& request, int64_t now_ms);
  bool contains(const RequestIdentity& request, int64_t now_ms);

private:
  void rotate(int64_t now_ms);

  /// Those of the present period, and of the one before.
  std::set<RequestIdentity> newer_;
  std::set<RequestIdentity> older_;
  int64_t period_began_ms_ = 0;
};

} // namespace workshatch::relay

/// @file
/// Requests that were completed recently.
#pragma once

#include <cstdint>
#include <set>

#include "core/relay/request_identity.h"

namespace workshatch::relay {

/// Remembers requests for 30 to 60 seconds after a successful response.
///
/// Load pattern: clients that repeat a request every few seconds have it in progress on many
/// runners at any moment. When several runners lose power together, that request was running on
/// each of them; its earlier completion shows that it did not crash them.
///
/// Memory is bounded for any number of different requests: many new requests evict old ones, which
/// then only lose this protection. Times are milliseconds of the monotonic clock. Not safe for
/// concurrent use.
class CompletedRequests {
public:
  void record(const RequestIdentity& request, int64_t now_ms);
  bool contains(const RequestIdentity& request, int64_t now_ms);

private:
  void rotate(int64_t now_ms);

  /// Requests of the present period, and of the one before.
  std::set<RequestIdentity> newer_;
  std::set<RequestIdentity> older_;
  int64_t period_began_ms_ = 0;
};

} // namespace workshatch::relay

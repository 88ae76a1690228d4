/// @file
/// When callers that were refused because no slot was free should retry.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace workshatch::relay {

/// Schedules the retries of refused callers one after the other, at the rate at which the service's
/// requests complete, so that they do not all return at once to a service that is still full. Times
/// are milliseconds of the monotonic clock. Not safe for concurrent use.
class RetryAfterScheduler {
public:
  /// Records that a request of the service ended and released its slot.
  void recordCompletion(const std::string& service, int64_t now_ms);

  /// @param left_ms time that the caller has left
  /// @return the delay in milliseconds after which the caller should retry: when the callers
  /// scheduled before it can have been served, but early enough that most of its time is left.
  uint32_t nextDelayMs(const std::string& service, int64_t left_ms, int64_t now_ms);

private:
  struct Service {
    /// Times at which requests ended recently.
    std::deque<int64_t> completed_ms;
    /// When the caller that was scheduled last should retry.
    int64_t last_retry_ms = 0;
  };

  std::map<std::string, Service> services_;
};

} // namespace workshatch::relay

/// @file
/// When callers that were refused for want of a place shall come back.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace workshatch::relay {

/// Gives refused callers times to come back at, one after the other at the pace at which the
/// service's requests end, so that they do not all return at once into the same crowd.
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class RetryAfterScheduler {
public:
  /// Notes that a request of the service ended, so that its place became free.
  void recordCompletion(const std::string& service, int64_t now_ms);

  /// @param left_ms the time that the caller has left
  /// @return after how many milliseconds it shall come back: when those told before it can have
  /// been served, but so soon that it has the most of its time left.
  uint32_t nextDelayMs(const std::string& service, int64_t left_ms, int64_t now_ms);

private:
  struct Service {
    /// Requests that ended lately.
    std::deque<int64_t> ended;
    /// When the caller that was told last comes back.
    int64_t last_return_ms = 0;
  };

  std::map<std::string, Service> services_;
};

} // namespace workshatch::relay

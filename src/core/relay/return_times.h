/// @file
/// When callers that were refused for want of a place shall come back.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace workshatch::relay {

/// What a refused request allows.
struct RefusedRequest {
  std::string service;
  /// Time left until an answer is late; negative: it is late already.
  int64_t until_late_ms = 0;
  /// Time within which an answer is not late, from the caller's first word.
  int64_t objective_ms = 0;
  /// Time that the caller has left.
  int64_t left_ms = 0;
  /// Spreads callers that are refused at the same moment.
  uint64_t draw = 0;
};

/// Gives refused callers times to come back at.
///
/// Load patterns: while a service is asked for somewhat more than it can do, places become free all
/// the time and fewer than half of the tries are refused. A caller that comes back while its answer
/// can still be in time has the same chance as one that comes later, and is not late. While most
/// tries are refused only the end of the overload helps: callers come back one after the other, at
/// the pace at which requests end, and as late as they can.
///
/// Times are milliseconds of the steady clock. Not safe for concurrent use.
class ReturnTimes {
public:
  /// Notes that a request of the service ended, so that its place became free.
  void noteEnded(const std::string& service, int64_t now_ms);

  /// Notes the refusal. @return after how many milliseconds its caller shall come back: so soon
  /// that it has the most of its time left.
  uint32_t nextAfterMs(const RefusedRequest& refused, int64_t now_ms);

private:
  struct Service {
    /// Requests that ended lately.
    std::deque<int64_t> ended;
    /// Requests that were refused lately.
    std::deque<int64_t> refused;
    /// When the caller that was told last to come in its turn comes back.
    int64_t last_return_ms = 0;
  };

  static bool mostAreRefused(const Service& service);
  static uint32_t soonMs(const RefusedRequest& refused);
  static uint32_t inTurnMs(Service& service, const RefusedRequest& refused, int64_t now_ms);

  std::map<std::string, Service> services_;
};

} // namespace workshatch::relay

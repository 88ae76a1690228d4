/// @file
/// Requests of one relay that wait for a place at a busy service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>

namespace workshatch::relay {

/// Where a request stands in the line: the more urgent first, then the one with less time left,
/// then the one that came first.
struct QueuePosition {
  uint32_t priority = 0;
  int64_t deadline_ms = 0;
  uint64_t number = 0;

  bool operator<(const QueuePosition& other) const {
    return std::tie(priority, deadline_ms, number) <
           std::tie(other.priority, other.deadline_ms, other.number);
  }
};

/// One line for each service, of bounded length: the last gives way to a request before it.
/// A request in the line is called at most once; to wait on, it joins again. Calls happen within
/// the methods of this class. Not safe for concurrent use.
class RequestQueues {
public:
  enum class WakeReason {
    /// A place may have become free.
    SlotMayBeFree,
    /// The line is full and others go first.
    Evicted,
  };
  using WakeCallback = std::function<void(WakeReason)>;

  explicit RequestQueues(size_t max_length) : most_waiting_(max_length) {}

  /// @return a place for a request that has not joined yet.
  QueuePosition newPosition(uint32_t priority, int64_t deadline_ms) {
    return QueuePosition{
        .priority = priority, .deadline_ms = deadline_ms, .number = ++last_number_};
  }

  /// @return false when the line is full of requests that go first.
  bool enqueue(const std::string& service, const QueuePosition& place, WakeCallback called);
  /// Leaves the line; nothing happens when the request was called already.
  void remove(const std::string& service, const QueuePosition& place);

  /// Calls the first in line, if there is one.
  void wakeNext(const std::string& service);
  /// As `wakeNext`, for each service.
  void wakeNextOfEachService();

  /// @return whether a request waits that goes before a new one of this priority.
  bool hasRequestAhead(const std::string& service, uint32_t priority) const;
  size_t length(const std::string& service) const;

private:
  using Line = std::map<QueuePosition, WakeCallback>;

  const size_t most_waiting_;
  uint64_t last_number_ = 0;
  std::map<std::string, Line> lines_;
};

} // namespace workshatch::relay

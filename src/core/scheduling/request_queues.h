/// @file
/// Queues of a relay's requests that wait for a slot at a busy service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>

namespace workshatch::relay {

/// Position of a request in its queue: the more urgent first, then the one with less time left,
/// then the one that arrived first.
struct QueuePosition {
  uint32_t priority = 0;
  int64_t deadline_ms = 0;
  uint64_t number = 0;

  bool operator<(const QueuePosition& other) const {
    return std::tie(priority, deadline_ms, number) <
           std::tie(other.priority, other.deadline_ms, other.number);
  }
};

/// One queue of bounded length for each service. When a queue is full, a request that goes before
/// the last one evicts it. A queued request is woken at most once; to keep waiting it must be
/// queued again. Callbacks run within the methods of this class. Not safe for concurrent use.
class RequestQueues {
public:
  enum class WakeReason {
    /// A slot may have become free.
    SlotMayBeFree,
    /// The queue is full of requests that go first.
    Evicted,
  };
  using WakeCallback = std::function<void(WakeReason)>;

  explicit RequestQueues(size_t max_length) : max_length_(max_length) {}

  /// @return a position for a request that has not been queued yet.
  QueuePosition newPosition(uint32_t priority, int64_t deadline_ms) {
    return QueuePosition{
        .priority = priority, .deadline_ms = deadline_ms, .number = ++last_number_};
  }

  /// Adds a request to the service's queue.
  /// @return false if the queue is full of requests that go first.
  bool enqueue(const std::string& service, const QueuePosition& position, WakeCallback wake);
  /// Removes a request from its queue; has no effect if the request was woken already.
  void remove(const std::string& service, const QueuePosition& position);

  /// Wakes the first request of the service's queue, if there is one.
  void wakeNext(const std::string& service);
  /// Wakes the first request of each service's queue.
  void wakeNextOfEachService();

  /// @return whether a queued request goes before a new one of this priority.
  bool hasRequestAhead(const std::string& service, uint32_t priority) const;
  size_t length(const std::string& service) const;

private:
  using Queue = std::map<QueuePosition, WakeCallback>;

  const size_t max_length_;
  uint64_t last_number_ = 0;
  std::map<std::string, Queue> queues_;
};

} // namespace workshatch::relay

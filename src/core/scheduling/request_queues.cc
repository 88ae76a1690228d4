#include "core/scheduling/request_queues.h"

#include <iterator>
#include <utility>
#include <vector>

namespace workshatch::relay {

bool RequestQueues::enqueue(const std::string& service, const QueuePosition& position,
                            WakeCallback wake) {
  Queue& queue = queues_[service];
  if (queue.size() >= max_length_) {
    const auto last = std::prev(queue.end());
    if (last->first < position) {
      return false;
    }
    const WakeCallback evict = std::move(last->second);
    queue.erase(last);
    evict(WakeReason::Evicted);
  }
  queues_[service].emplace(position, std::move(wake));
  return true;
}

void RequestQueues::remove(const std::string& service, const QueuePosition& position) {
  const auto queue = queues_.find(service);
  if (queue != queues_.end()) {
    queue->second.erase(position);
  }
}

void RequestQueues::wakeNext(const std::string& service) {
  const auto queue = queues_.find(service);
  if (queue == queues_.end() || queue->second.empty()) {
    return;
  }
  const auto first = queue->second.begin();
  const WakeCallback wake = std::move(first->second);
  queue->second.erase(first);
  wake(WakeReason::SlotMayBeFree);
}

void RequestQueues::wakeNextOfEachService() {
  std::vector<std::string> services;
  for (const auto& [service, queue] : queues_) {
    if (!queue.empty()) {
      services.push_back(service);
    }
  }
  for (const std::string& service : services) {
    wakeNext(service);
  }
}

bool RequestQueues::hasRequestAhead(const std::string& service, uint32_t priority) const {
  const auto queue = queues_.find(service);
  return queue != queues_.end() && !queue->second.empty() &&
         queue->second.begin()->first.priority <= priority;
}

size_t RequestQueues::length(const std::string& service) const {
  const auto queue = queues_.find(service);
  return queue == queues_.end() ? 0 : queue->second.size();
}

} // namespace workshatch::relay

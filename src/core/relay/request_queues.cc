#include "core/relay/request_queues.h"

#include <iterator>
#include <utility>
#include <vector>

namespace workshatch::relay {

bool RequestQueues::enqueue(const std::string& service, const QueuePosition& place,
                            WakeCallback called) {
  Line& line = lines_[service];
  if (line.size() >= most_waiting_) {
    const auto last = std::prev(line.end());
    if (last->first < place) {
      return false;
    }
    const WakeCallback gives_up = std::move(last->second);
    line.erase(last);
    gives_up(WakeReason::Evicted);
  }
  lines_[service].emplace(place, std::move(called));
  return true;
}

void RequestQueues::remove(const std::string& service, const QueuePosition& place) {
  const auto line = lines_.find(service);
  if (line != lines_.end()) {
    line->second.erase(place);
  }
}

void RequestQueues::wakeNext(const std::string& service) {
  const auto line = lines_.find(service);
  if (line == lines_.end() || line->second.empty()) {
    return;
  }
  const auto first = line->second.begin();
  const WakeCallback called = std::move(first->second);
  line->second.erase(first);
  called(WakeReason::SlotMayBeFree);
}

void RequestQueues::wakeNextOfEachService() {
  std::vector<std::string> services;
  for (const auto& [service, line] : lines_) {
    if (!line.empty()) {
      services.push_back(service);
    }
  }
  for (const std::string& service : services) {
    wakeNext(service);
  }
}

bool RequestQueues::hasRequestAhead(const std::string& service, uint32_t priority) const {
  const auto line = lines_.find(service);
  return line != lines_.end() && !line->second.empty() &&
         line->second.begin()->first.priority <= priority;
}

size_t RequestQueues::length(const std::string& service) const {
  const auto line = lines_.find(service);
  return line == lines_.end() ? 0 : line->second.size();
}

} // namespace workshatch::relay

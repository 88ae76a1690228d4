#include "core/relay/waiting_line.h"

#include <iterator>
#include <utility>
#include <vector>

namespace workshatch::relay {

bool WaitingLine::join(const std::string& service, const LinePlace& place, Called called) {
  Line& line = lines_[service];
  if (line.size() >= most_waiting_) {
    const auto last = std::prev(line.end());
    if (last->first < place) {
      return false;
    }
    const Called gives_up = std::move(last->second);
    line.erase(last);
    gives_up(Call::GiveUp);
  }
  lines_[service].emplace(place, std::move(called));
  return true;
}

void WaitingLine::leave(const std::string& service, const LinePlace& place) {
  const auto line = lines_.find(service);
  if (line != lines_.end()) {
    line->second.erase(place);
  }
}

void WaitingLine::callNext(const std::string& service) {
  const auto line = lines_.find(service);
  if (line == lines_.end() || line->second.empty()) {
    return;
  }
  const auto first = line->second.begin();
  const Called called = std::move(first->second);
  line->second.erase(first);
  called(Call::Try);
}

void WaitingLine::callNextOfEach() {
  std::vector<std::string> services;
  for (const auto& [service, line] : lines_) {
    if (!line.empty()) {
      services.push_back(service);
    }
  }
  for (const std::string& service : services) {
    callNext(service);
  }
}

bool WaitingLine::hasBefore(const std::string& service, uint32_t priority) const {
  const auto line = lines_.find(service);
  return line != lines_.end() && !line->second.empty() &&
         line->second.begin()->first.priority <= priority;
}

size_t WaitingLine::length(const std::string& service) const {
  const auto line = lines_.find(service);
  return line == lines_.end() ? 0 : line->second.size();
}

} // namespace workshatch::relay

#include "core/relay/read_ahead_budget.h"

#include <algorithm>
#include <utility>

namespace workshatch::relay {

ReadAheadBudget::Reader ReadAheadBudget::open(CancelCallback cut) {
  const Reader reader = next_reader_++;
  readers_.emplace(reader, Held{.cut = std::move(cut)});
  return reader;
}

void ReadAheadBudget::close(Reader reader) {
  const auto found = readers_.find(reader);
  if (found != readers_.end()) {
    held_bytes_ -= found->second.held_bytes;
    readers_.erase(found);
  }
}

void ReadAheadBudget::update(Reader reader, size_t held_bytes, uint64_t read_bytes) {
  const auto found = readers_.find(reader);
  if (found == readers_.end()) {
    return;
  }
  Held& held = found->second;
  held_bytes_ += held_bytes;
  held_bytes_ -= held.held_bytes;
  held.held_bytes = held_bytes;
  held.read_bytes = read_bytes;
  while (held_bytes_ > limits_.process_bytes) {
    cutLargest();
  }
}

void ReadAheadBudget::cutLargest() {
  const auto largest =
      std::max_element(readers_.begin(), readers_.end(), [](const auto& left, const auto& right) {
        const Held& one = left.second;
        const Held& other = right.second;
        return std::pair(one.held_bytes, other.read_bytes) <
               std::pair(other.held_bytes, one.read_bytes);
      });
  const CancelCallback cut = std::move(largest->second.cut);
  close(largest->first);
  ++cuts_;
  cut();
}

} // namespace workshatch::relay

#include "core/relay/read_ahead_budget.h"

#include <algorithm>
#include <utility>

namespace workshatch::relay {

ReadAheadBudget::Reader ReadAheadBudget::open(CancelCallback cancel) {
  const Reader reader = next_reader_++;
  readers_.emplace(reader, ReaderState{.cancel = std::move(cancel)});
  return reader;
}

void ReadAheadBudget::close(Reader reader) {
  const auto found = readers_.find(reader);
  if (found != readers_.end()) {
    buffered_bytes_ -= found->second.buffered_bytes;
    readers_.erase(found);
  }
}

void ReadAheadBudget::update(Reader reader, size_t buffered_bytes, uint64_t read_bytes) {
  const auto found = readers_.find(reader);
  if (found == readers_.end()) {
    return;
  }
  ReaderState& state = found->second;
  buffered_bytes_ += buffered_bytes;
  buffered_bytes_ -= state.buffered_bytes;
  state.buffered_bytes = buffered_bytes;
  state.read_bytes = read_bytes;
  while (buffered_bytes_ > limits_.process_bytes) {
    cancelLargest();
  }
}

void ReadAheadBudget::cancelLargest() {
  const auto largest =
      std::max_element(readers_.begin(), readers_.end(), [](const auto& left, const auto& right) {
        const ReaderState& first = left.second;
        const ReaderState& second = right.second;
        return std::pair(first.buffered_bytes, second.read_bytes) <
               std::pair(second.buffered_bytes, first.read_bytes);
      });
  const CancelCallback cancel = std::move(largest->second.cancel);
  close(largest->first);
  ++cancelled_readers_;
  cancel();
}

} // namespace workshatch::relay

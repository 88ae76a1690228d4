#include "daemon/open_calls.h"

namespace workshatch::daemon {

std::optional<uint64_t> OpenCalls::State::open(Refusal refusal) {
  const std::lock_guard lock(mutex_);
  ++counts_.accepted;
  if (phase_ != Phase::Accepting) {
    ++counts_.refused;
    return std::nullopt;
  }
  const uint64_t id = next_id_++;
  open_.emplace(id, std::move(refusal));
  return id;
}

bool OpenCalls::State::answer(uint64_t id) {
  // Declared before the lock, so that objects captured by the refusal are destroyed after unlock.
  Refusal unused;
  const std::lock_guard lock(mutex_);
  const auto found = open_.find(id);
  if (found == open_.end()) {
    return false;
  }
  unused = std::move(found->second);
  open_.erase(found);
  ++counts_.answered;
  return true;
}

void OpenCalls::State::refuseAll(Phase phase) {
  std::unordered_map<uint64_t, Refusal> refused;
  {
    const std::lock_guard lock(mutex_);
    phase_ = phase_ == Phase::Ended ? Phase::Ended : phase;
    refused.swap(open_);
    counts_.refused += refused.size();
  }
  for (const auto& [id, refuse] : refused) {
    refuse();
  }
}

void OpenCalls::State::resumeAccepting() {
  const std::lock_guard lock(mutex_);
  phase_ = phase_ == Phase::Ended ? Phase::Ended : Phase::Accepting;
}

CallCounts OpenCalls::State::counts() const {
  const std::lock_guard lock(mutex_);
  return counts_;
}

} // namespace workshatch::daemon

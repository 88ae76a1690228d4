#include "adapters/rpc/calls_in_flight.h"

#include <utility>

namespace workshatch::rpc {

bool CallsInFlight::begin(const std::shared_ptr<CallInFlight>& call) {
  // Destroyed after the lock is released.
  Calls over;
  const std::lock_guard lock(mutex_);
  over.swap(finished_);
  if (ended_) {
    return false;
  }
  calls_.emplace(call.get(), call);
  return true;
}

void CallsInFlight::finished(const CallInFlight& call) {
  const std::lock_guard lock(mutex_);
  const auto found = calls_.find(&call);
  finished_.push_back(std::move(found->second));
  calls_.erase(found);
  // Under the lock: once it is released, `end` may return and this object be gone.
  all_finished_.notify_all();
}

void CallsInFlight::end() {
  Calls under_way;
  {
    const std::lock_guard lock(mutex_);
    ended_ = true;
    for (const auto& [address, call] : calls_) {
      under_way.push_back(call);
    }
  }
  // Without the lock, which the callbacks take.
  for (const std::shared_ptr<CallInFlight>& call : under_way) {
    call->context.TryCancel();
  }
  Calls over;
  std::unique_lock lock(mutex_);
  all_finished_.wait(lock, [this] { return calls_.empty(); });
  over.swap(finished_);
}

} // namespace workshatch::rpc

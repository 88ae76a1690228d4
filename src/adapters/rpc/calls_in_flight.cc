#include "adapters/rpc/calls_in_flight.h"

#include <utility>

namespace workshatch::rpc {

bool CallsInFlight::begin(const std::shared_ptr<CallInFlight>& call) {
  // Declared before the lock, so that the calls are destroyed after it is released.
  Calls finished_calls;
  const std::lock_guard lock(mutex_);
  finished_calls.swap(finished_);
  if (shut_down_) {
    return false;
  }
  calls_.emplace(call.get(), call);
  return true;
}

void CallsInFlight::markFinished(const CallInFlight& call) {
  const std::lock_guard lock(mutex_);
  const auto found = calls_.find(&call);
  finished_.push_back(std::move(found->second));
  calls_.erase(found);
  // Notifies while holding the lock. After its release `shutdown` may return, and this object may
  // be destroyed.
  all_finished_.notify_all();
}

void CallsInFlight::shutdown() {
  Calls pending;
  {
    const std::lock_guard lock(mutex_);
    shut_down_ = true;
    for (const auto& [address, call] : calls_) {
      pending.push_back(call);
    }
  }
  // Cancels without holding the lock, because callbacks take it.
  for (const std::shared_ptr<CallInFlight>& call : pending) {
    call->context.TryCancel();
  }
  Calls finished_calls;
  std::unique_lock lock(mutex_);
  all_finished_.wait(lock, [this] { return calls_.empty(); });
  finished_calls.swap(finished_);
}

} // namespace workshatch::rpc

/// @file
/// Accounting of one response of a runner or relay that is held.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

#include "core/relay/read_ahead_budget.h"

namespace workshatch::daemon {

/// Counts the bytes of a response that are held until the rest of it, or of an event of it, has
/// arrived, and of a whole one until its caller has it. A runner may send bytes without end, and a
/// caller may not read; together such responses must not take the memory of the responses to other
/// callers. Lives on the relay's event loop; not safe for concurrent use.
class IncompleteAnswer {
public:
  /// @param budget of all responses of the process; shared, since a request that is in progress
  /// when the process ends is destroyed after the relay's state
  /// @param cut called once if this response must be given up
  IncompleteAnswer(std::shared_ptr<relay::ReadAheadBudget> budget,
                   relay::ReadAheadBudget::CancelCallback cut)
      : budget_(std::move(budget)), entry_(budget_->open(std::move(cut))) {}
  ~IncompleteAnswer() { budget_->close(entry_); }
  IncompleteAnswer(const IncompleteAnswer&) = delete;
  IncompleteAnswer& operator=(const IncompleteAnswer&) = delete;

  /// Sets the bytes that are held. May cut this response or another one.
  void update(size_t held_bytes) { budget_->update(entry_, held_bytes, 0); }

private:
  const std::shared_ptr<relay::ReadAheadBudget> budget_;
  const relay::ReadAheadBudget::Reader entry_;
};

} // namespace workshatch::daemon

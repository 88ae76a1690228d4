#include "core/relay/outcome_intervals.h"

#include <utility>

namespace workshatch::relay {

OutcomeInterval& OutcomeInterval::operator+=(const OutcomeInterval& more) {
  outcomes += more.outcomes;
  target_groups += more.target_groups;
  return *this;
}

OutcomeInterval& OutcomeIntervals::at(int64_t now_ms) {
  if (!intervals_.empty() && intervals_.back().from_ms == beginOf(now_ms)) {
    return intervals_.back();
  }
  intervals_.push_back(
      OutcomeInterval{.from_ms = beginOf(now_ms), .outcomes = {}, .target_groups = {}});
  if (intervals_.size() > limit_) {
    if (overflow_ == Overflow::Merge) {
      mergePairs();
    } else {
      intervals_.pop_front();
    }
  }
  return intervals_.back();
}

void OutcomeIntervals::mergePairs() {
  interval_ms_ *= 2;
  std::deque<OutcomeInterval> merged;
  for (OutcomeInterval& interval : intervals_) {
    interval.from_ms = beginOf(interval.from_ms);
    if (!merged.empty() && merged.back().from_ms == interval.from_ms) {
      merged.back() += interval;
    } else {
      merged.push_back(std::move(interval));
    }
  }
  intervals_ = std::move(merged);
}

} // namespace workshatch::relay

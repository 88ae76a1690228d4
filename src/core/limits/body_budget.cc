#include "core/limits/body_budget.h"

#include <algorithm>

namespace workshatch::limits {

bool BodyBudget::Reservation::growTo(size_t bytes) {
  if (bytes <= bytes_) {
    return true;
  }
  if (!budget_->change(bytes_, bytes)) {
    return false;
  }
  bytes_ = bytes;
  return true;
}

void BodyBudget::Reservation::release() {
  if (bytes_ > 0) {
    budget_->change(bytes_, 0);
    bytes_ = 0;
  }
}

size_t BodyBudget::heldBytes() const {
  const std::lock_guard lock(mutex_);
  return held_bytes_;
}

size_t BodyBudget::peakBytes() const {
  const std::lock_guard lock(mutex_);
  return peak_bytes_;
}

uint64_t BodyBudget::refusals() const {
  const std::lock_guard lock(mutex_);
  return refusals_;
}

bool BodyBudget::change(size_t old_bytes, size_t new_bytes) {
  const std::lock_guard lock(mutex_);
  const size_t held_by_others = held_bytes_ - old_bytes;
  const size_t large_by_others = large_bytes_ - (isSmall(old_bytes) ? 0 : old_bytes);
  const size_t large_limit = limits_.process_bytes - limits_.reserved_bytes;
  // Written as differences, since a request may state any length.
  const bool fits = new_bytes <= limits_.process_bytes - held_by_others &&
                    (isSmall(new_bytes) || new_bytes <= large_limit - large_by_others);
  if (!fits) {
    ++refusals_;
    return false;
  }
  held_bytes_ = held_by_others + new_bytes;
  large_bytes_ = large_by_others + (isSmall(new_bytes) ? 0 : new_bytes);
  peak_bytes_ = std::max(peak_bytes_, held_bytes_);
  return true;
}

} // namespace workshatch::limits

/// @file
/// The lease under which a relay serves requests that need a key.
#pragma once

#include <cstdint>
#include <map>

namespace workshatch::relay {

/// @param revoked_key_ms time within which a revoked key must be rejected, milliseconds
/// @return the length of a lease, from the sending of the renewal. The rest of the time covers
/// requests that are already on their way to a runner.
inline int64_t leaseLengthMs(int64_t revoked_key_ms) {
  constexpr double kLeaseFraction = 0.8;
  return static_cast<int64_t>(kLeaseFraction * static_cast<double>(revoked_key_ms));
}

/// Tracks the lease renewals of a relay and the leader's confirmations.
///
/// Guarantee: a lease that holds was confirmed by the leader in answer to a renewal that was sent
/// less than the lease's length ago; therefore every change that was acknowledged before the
/// renewal was sent is in force here. Times are milliseconds of the monotonic clock. Not safe for
/// concurrent use.
class ServingLease {
public:
  /// @param length_ms how long a confirmed renewal is valid, counted from its sending
  explicit ServingLease(int64_t length_ms) : length_ms_(length_ms) {}

  /// Records that a renewal is sent.
  /// @return its sequence number, never 0.
  uint64_t renewalSent(int64_t now_ms) {
    sent_[++sequence_] = now_ms;
    while (sent_.size() > kMaxOutstanding) {
      sent_.erase(sent_.begin());
    }
    return sequence_;
  }

  /// Records the leader's confirmation of a renewal; unknown sequence numbers are ignored.
  void confirmed(uint64_t sequence) {
    const auto found = sent_.find(sequence);
    if (found == sent_.end()) {
      return;
    }
    if (!ever_confirmed_ || found->second > confirmed_sent_ms_) {
      confirmed_sent_ms_ = found->second;
    }
    ever_confirmed_ = true;
    sent_.erase(sent_.begin(), std::next(found));
  }

  bool holds(int64_t now_ms) const { return ever_confirmed_ && ageMs(now_ms) < length_ms_; }

  /// @return whether the last confirmation is so recent that this relay may treat an entry that it
  /// does not know as nonexistent.
  bool isFresh(int64_t now_ms) const { return holds(now_ms) && ageMs(now_ms) <= kFreshMs; }

  /// @return milliseconds since the newest confirmed renewal was sent; -1 before the first
  /// confirmation.
  int64_t ageMs(int64_t now_ms) const { return ever_confirmed_ ? now_ms - confirmed_sent_ms_ : -1; }

  /// @return milliseconds without a confirmation: since the newest confirmed renewal was sent, or
  /// since the start if there is none.
  /// @param started_ms when the process started
  int64_t unconfirmedForMs(int64_t now_ms, int64_t started_ms) const {
    return now_ms - (ever_confirmed_ ? confirmed_sent_ms_ : started_ms);
  }

  bool everConfirmed() const { return ever_confirmed_; }

private:
  static constexpr size_t kMaxOutstanding = 64;
  /// Longer than the longest renewal period, shorter than the time that a change may take to come
  /// into force.
  static constexpr int64_t kFreshMs = 1800;

  int64_t length_ms_;
  uint64_t sequence_ = 0;
  bool ever_confirmed_ = false;
  int64_t confirmed_sent_ms_ = 0;
  /// Sending times of renewals that are not confirmed yet, by sequence number.
  std::map<uint64_t, int64_t> sent_;
};

} // namespace workshatch::relay

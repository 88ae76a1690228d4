/// @file
/// The lease under which a relay serves requests with a key.
#pragma once

#include <cstdint>
#include <map>

namespace workshatch::relay {

/// Keeps what a relay may rely on: the leader's confirmed answers to its renewals.
///
/// Guarantee: a lease that holds was confirmed by the leader in answer to a renewal that was sent
/// less than the lease's length ago; so every change acknowledged before that sending is in force
/// here. Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class ServingLease {
public:
  /// @param length_ms how long a confirmed renewal counts, from its sending.
  explicit ServingLease(int64_t length_ms) : length_ms_(length_ms) {}

  /// Notes that a renewal is sent. @return its sequence number, never zero.
  uint64_t renewalSent(int64_t now_ms) {
    sent_[++sequence_] = now_ms;
    while (sent_.size() > kMostOutstanding) {
      sent_.erase(sent_.begin());
    }
    return sequence_;
  }

  /// Notes the leader's confirmation of a renewal; unknown sequences are ignored.
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

  /// @return whether the last confirmation is so new that what it did not bring does not exist.
  bool isFresh(int64_t now_ms) const { return holds(now_ms) && ageMs(now_ms) <= kFreshMs; }

  /// Milliseconds since the sending of the newest confirmed renewal; -1 before the first.
  int64_t ageMs(int64_t now_ms) const { return ever_confirmed_ ? now_ms - confirmed_sent_ms_ : -1; }

  /// Milliseconds without a confirmation: since the sending of the last, or since the start.
  /// @param started_ms when the process started
  int64_t unconfirmedForMs(int64_t now_ms, int64_t started_ms) const {
    return now_ms - (ever_confirmed_ ? confirmed_sent_ms_ : started_ms);
  }

  bool everConfirmed() const { return ever_confirmed_; }

private:
  static constexpr size_t kMostOutstanding = 64;
  /// Longer than the longest period of renewals, shorter than a change may take to be in force.
  static constexpr int64_t kFreshMs = 1800;

  int64_t length_ms_;
  uint64_t sequence_ = 0;
  bool ever_confirmed_ = false;
  int64_t confirmed_sent_ms_ = 0;
  /// Time of sending by sequence, of renewals that were not confirmed yet.
  std::map<uint64_t, int64_t> sent_;
};

} // namespace workshatch::relay

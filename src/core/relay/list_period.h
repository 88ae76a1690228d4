/// @file
/// How often the platform's list of runners is read.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace workshatch::relay {

/// Parameters that determine how often the list is read.
struct ListPollOptions {
  /// Number of calls that one reading of the list takes.
  size_t pages = 1;
  /// Number of processes that read the list at the same time.
  size_t readers = 1;
  /// Calls per second that the platform accepts from all processes together.
  double calls_per_s = 1;
  /// The period to use when the call rate allows it, in milliseconds.
  int64_t desired_period_ms = 0;
};

/// @return the leader's desired period in milliseconds. All processes must know of a leaving runner
/// within `leaving_runner_ms`. A quarter of it leaves room for a failed reading and for the
/// transfer to the relays; no other bound requires a shorter period.
inline int64_t desiredListPeriodMs(int64_t leaving_runner_ms) {
  constexpr int64_t kReadingsPerBound = 4;
  return leaving_runner_ms / kReadingsPerBound;
}

/// @return whether a replica of the group reads the list. The leader does. Without a leader all
/// replicas do, so that the next leader has a list, but only after the time that an election may
/// take: ten replicas that read thousands of runners each at once exceed the platform's call rate
/// and are refused, and a new leader reads the list first thing anyway.
inline bool shouldReadList(bool leads, int64_t leaderless_ms) {
  constexpr int64_t kElectionMs = 1000;
  return leads || leaderless_ms >= kElectionMs;
}

/// @return the period in milliseconds at which all readers together use at most half of the call
/// rate; the rest is for restarts and changes of the leader.
inline int64_t listPeriodMs(const ListPollOptions& options) {
  constexpr double kRateFraction = 0.5;
  constexpr double kMsPerSecond = 1000;
  const auto calls = static_cast<double>(options.pages * options.readers);
  const double min_ms = kMsPerSecond * calls / (kRateFraction * options.calls_per_s);
  return std::max(options.desired_period_ms, static_cast<int64_t>(min_ms));
}

} // namespace workshatch::relay

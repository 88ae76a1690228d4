/// @file
/// How often the platform's list of runners may be read.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace workshatch::relay {

/// What the reading of the list depends on.
struct ListPollOptions {
  /// Calls that one reading takes.
  size_t pages = 1;
  /// Processes that read at the same time.
  size_t readers = 1;
  /// Calls that the platform takes from all processes together in a second.
  double calls_per_s = 1;
  /// The period when the rate allows it, in milliseconds.
  int64_t desired_period_ms = 0;
};

/// How often the leader wants the list: a runner that is leaving has to be known everywhere within
/// `leaving_runner_ms`. A quarter of it leaves room for a reading that fails and for the way to the
/// relays; no other bound needs the list sooner.
inline int64_t desiredListPeriodMs(int64_t leaving_runner_ms) {
  constexpr int64_t kReadingsInBound = 4;
  return leaving_runner_ms / kReadingsInBound;
}

/// @return whether a replica of the group reads the list. The leader does. Without one all replicas
/// do, so that the next leader has a list, but not before an election may take: ten replicas that
/// each read thousands of runners at once are refused for the platform's rate, and the new leader
/// reads first thing anyway.
inline bool shouldReadList(bool leads, int64_t leaderless_ms) {
  constexpr int64_t kElectionMs = 1000;
  return leads || leaderless_ms >= kElectionMs;
}

/// @return milliseconds from one reading to the next, so that all readers together use at most half
/// of the rate; the rest is for restarts and changes of the leader.
inline int64_t listPeriodMs(const ListPollOptions& reading) {
  constexpr double kPartOfRate = 0.5;
  constexpr double kMsPerSecond = 1000;
  const auto calls = static_cast<double>(reading.pages * reading.readers);
  const double least_ms = kMsPerSecond * calls / (kPartOfRate * reading.calls_per_s);
  return std::max(reading.desired_period_ms, static_cast<int64_t>(least_ms));
}

} // namespace workshatch::relay

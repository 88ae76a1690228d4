/// @file
/// Counters and histograms of one relay, each declared once.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace workshatch::daemon {

/// Durations by powers of two of a millisecond.
class DurationHistogram {
public:
  void add(int64_t milliseconds);
  /// Appends the histogram in the Prometheus text format.
  void expose(std::string& out, const std::string& name, const std::string& help) const;

private:
  static constexpr size_t kBuckets = 16;

  std::array<uint64_t, kBuckets> counts_{};
  uint64_t total_ = 0;
  int64_t sum_ms_ = 0;
};

/// Lives on the relay's event loop; not safe for concurrent use.
struct RelayStats {
  /// Requests by outcome, as the decision log names it.
  std::map<std::string, uint64_t> outcomes;
  /// Attempts at runners by outcome.
  std::map<std::string, uint64_t> attempts;
  uint64_t repeats = 0;
  uint64_t repeats_refused = 0;
  uint64_t resumed_streams = 0;
  uint64_t events = 0;
  uint64_t renewals = 0;
  DurationHistogram first_event;
  DurationHistogram event_gap;
  DurationHistogram answer;

  /// @return everything in the Prometheus text format.
  std::string expose() const;
};

} // namespace workshatch::daemon

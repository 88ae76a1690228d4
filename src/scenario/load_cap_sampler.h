/// @file
/// Samples the engines' own counts of streams and compares them with the promised cap.
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace workshatch::scenario {

struct CapReport {
  uint64_t samples = 0;
  /// Samples in which an engine was over max(1, ceil(factor * mean)).
  uint64_t over_current_cap = 0;
  /// The same against the highest mean of the last second: work that was admitted under a higher
  /// mean is not taken away when the mean falls.
  uint64_t over_recent_cap = 0;
  double max_ratio = 0;
  /// Loads of the engines in the last sample that was over, and the means.
  std::string last_over_cap;
};

/// Samples from a thread of its own until it is destroyed.
class LoadCapSampler {
public:
  /// @param runners addresses of model runners; those that don't answer are left out of a sample.
  LoadCapSampler(std::vector<std::string> runners, double factor);
  ~LoadCapSampler();

  /// A runner that is leaving counts neither as an engine nor in the mean.
  void setLeaving(const std::string& runner, bool leaving);

  CapReport report() const;

private:
  void run();
  void sample();

  const std::vector<std::string> runners_;
  const double factor_;
  std::atomic<bool> stopping_{false};
  mutable std::mutex mutex_;
  /// Guarded by mutex_.
  CapReport report_;
  /// Addresses. Guarded by mutex_.
  std::set<std::string> leaving_;
  /// Means of the last second. Belongs to the thread.
  std::deque<double> means_;
  std::thread thread_;
};

} // namespace workshatch::scenario

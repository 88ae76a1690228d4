/// @file
/// Samples the number of streams that each engine reports and compares it with the load cap.
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

/// The load cap of a sample is max(1, ceil(factor * mean)), where the mean is over all engines.
struct CapReport {
  uint64_t samples = 0;
  /// Samples in which an engine exceeded the cap of the current mean.
  uint64_t over_current_cap = 0;
  /// Samples in which an engine exceeded the cap of the highest mean of the last second. Requests
  /// that were admitted under a higher mean keep running when the mean falls.
  uint64_t over_recent_cap = 0;
  /// Highest ratio of an engine's load to the highest mean of the last second.
  double max_ratio = 0;
  /// Engine loads and means of the last sample that exceeded the cap of the last second.
  std::string last_over_cap;
};

/// Samples in its own thread until it is destroyed. Public functions are thread-safe.
class LoadCapSampler {
public:
  /// @param runners addresses of model runners; a sample omits those that do not respond
  /// @param factor factor of the load cap
  LoadCapSampler(std::vector<std::string> runners, double factor);
  ~LoadCapSampler();

  /// Excludes a leaving runner from the samples, or includes it again.
  /// @param runner address of the runner
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
  /// Addresses of leaving runners. Guarded by mutex_.
  std::set<std::string> leaving_;
  /// Means of the last second. Used only by the sampling thread.
  std::deque<double> means_;
  std::thread thread_;
};

} // namespace workshatch::scenario

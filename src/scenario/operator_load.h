/// @file
/// Operators that call all control replicas all the time, also those that end.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace workshatch::scenario {

/// How the calls of the operators ended.
struct OperatorCallCounts {
  uint64_t answered = 0;
  /// Told at once that another replica has to be asked, or nobody listened.
  uint64_t refused = 0;
  /// Nobody said anything until the call's own deadline.
  uint64_t timed_out_calls = 0;
  /// Longest time without an answer from any replica, in milliseconds.
  int64_t longest_gap_ms = 0;
};

/// Calls go on until the end of this object, at each replica in turn, whether it leads or not.
class OperatorLoad {
public:
  OperatorLoad(std::vector<std::string> addresses, std::string token, uint32_t operators);
  ~OperatorLoad();
  OperatorLoad(const OperatorLoad&) = delete;
  OperatorLoad& operator=(const OperatorLoad&) = delete;

  OperatorCallCounts counts() const;

private:
  void callReplicas(size_t first_address);
  void recordAnswer();

  const std::vector<std::string> addresses_;
  const std::string token_;
  std::atomic<bool> stopped_{false};
  std::atomic<uint64_t> answered_{0};
  std::atomic<uint64_t> refused_{0};
  std::atomic<uint64_t> timed_out_calls_{0};
  std::atomic<int64_t> last_answer_ms_{0};
  std::atomic<int64_t> longest_gap_ms_{0};
  std::vector<std::thread> threads_;
};

} // namespace workshatch::scenario

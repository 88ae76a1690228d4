/// @file
/// Load generator that sends operator calls to all control replicas, including those that are
/// shutting down.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace workshatch::scenario {

/// Numbers of operator calls by outcome.
struct OperatorCallCounts {
  uint64_t answered = 0;
  /// The replica reported that it is not the leader, or the call failed before its deadline.
  uint64_t refused = 0;
  /// No response arrived before the deadline of the call.
  uint64_t timed_out_calls = 0;
  /// Longest time between two successful calls, over all replicas and operators.
  int64_t longest_gap_ms = 0;
};

/// Calls each replica in turn, whether or not it is the leader, until this object is destroyed.
/// Each operator has its own thread.
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

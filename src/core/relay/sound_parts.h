/// @file
/// The parts of prompts that runners have recently answered without crashing, at one relay.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Time after the beginning of its answer from which on a prompt has not crashed its runner.
inline constexpr int64_t kAnswerProvenMs = 1000;

/// Evidence for parts of prompts that the leader suspects of crashing runners.
///
/// Load pattern: at each crash some ten prompts break off, whose sound parts are in use at other
/// runners too. Each relay sees few of their answers, so the leader names the parts that it
/// suspects and each relay says which of them it knows to be sound.
///
/// Guarantee: a part is reported only for an answer that began after the first crash for which the
/// part is suspected. Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class SoundParts {
public:
  /// Maximum number of remembered parts; those that were used longest ago give way.
  static constexpr size_t kMaxParts = 4096;

  /// Records that a runner answered a prompt with these parts.
  /// @param began_ms when the answer began
  /// @return whether the leader is to be told at once that a suspected part is sound.
  bool record(const std::vector<uint64_t>& parts, int64_t began_ms);

  /// Replaces the suspects. @return as `record`.
  bool setSuspects(const v1::SuspectedParts& suspects, int64_t now_ms);

  /// Adds to a lease renewal the suspects that are sound and were not reported lately.
  /// @param first_on_link the leader on this link may be another one, that was not told anything
  void fill(v1::LeaseRenewal& renewal, bool first_on_link, int64_t now_ms);

private:
  struct Suspect {
    int64_t first_crash_ms = 0;
    /// When the answer began that was reported last; zero: none was.
    int64_t reported_ms = 0;
  };

  bool isSound(uint64_t part, const Suspect& suspect) const;
  bool isUnreported(uint64_t part, const Suspect& suspect) const;
  bool hasUnreported() const;
  void dropOldest();

  /// When the last answer of a prompt with the part began.
  std::map<uint64_t, int64_t> began_ms_;
  std::map<uint64_t, Suspect> suspects_;
};

} // namespace workshatch::relay

#include "core/relay/runner_groups.h"

#include <algorithm>

namespace workshatch::relay {

RunnerGroupCounts runnerGroupCountsOf(const v1::RolloutReport& report) {
  RunnerGroupCounts counts;
  const auto copyGroups = [](const auto& reported, auto& groups) {
    const size_t known = std::min(static_cast<size_t>(reported.size()), groups.size());
    std::copy_n(reported.begin(), known, groups.begin());
  };
  copyGroups(report.target_ended(), counts.ended);
  copyGroups(report.target_failed(), counts.failed);
  return counts;
}

} // namespace workshatch::relay

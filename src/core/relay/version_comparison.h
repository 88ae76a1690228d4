/// @file
/// Outcomes of requests at runners of two versions side by side, and how strongly they speak
/// against the newer one.
#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "core/relay/time_buckets.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Outcomes of one route's requests at runners of one version.
struct OutcomeCounts {
  uint64_t ended = 0;
  uint64_t failed = 0;
  std::array<uint64_t, kTimeBuckets> first_times{};
  std::array<uint64_t, kTimeBuckets> step_times{};

  OutcomeCounts& operator+=(const OutcomeCounts& more);
  /// Counts only grow: `earlier` is of the same route and version at an earlier time.
  OutcomeCounts since(const OutcomeCounts& earlier) const;
};

OutcomeCounts countsOf(const v1::VersionOutcomes& outcomes);

/// How likely it is that the target version is worse, and on how many answers that rests.
struct Evidence {
  /// In standard deviations; negative: the target version does better.
  double strength = 0;
  /// Bad answers of the target version beyond what the former one would have given.
  double excess = 0;
};

/// Outcomes of all routes at both versions in the same span of time. Not safe for concurrent use.
class VersionComparison {
public:
  /// By fingerprint of the route's name.
  struct Route {
    OutcomeCounts former;
    OutcomeCounts target;
  };

  void add(uint64_t route, bool target, const OutcomeCounts& counts);
  /// @return what was added since an earlier state of this comparison.
  VersionComparison since(const VersionComparison& earlier) const;

  /// @return the strongest evidence against the target version: failures of all routes or of one,
  /// or answers of one route that are late beside those of the former version. A few bad answers
  /// are no evidence.
  Evidence strongest() const;

  /// @return answers and failures of all routes; their times are not added up.
  OutcomeCounts totalOf(bool target) const;

private:
  std::map<uint64_t, Route> routes_;
};

/// @return how strongly the shares of bad answers speak against the target version: the signed root
/// of the likelihood ratio, which unlike the normal approximation holds for few answers too.
Evidence compareShares(uint64_t target_bad, uint64_t target_all, uint64_t former_bad,
                       uint64_t former_all);

} // namespace workshatch::relay

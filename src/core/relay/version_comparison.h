/// @file
/// Compares the outcomes of requests at runners of two versions, and measures the evidence against
/// the newer version.
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
  /// Counts since an earlier state of the same route and version. Counts never decrease.
  OutcomeCounts since(const OutcomeCounts& earlier) const;
};

OutcomeCounts countsOf(const v1::VersionOutcomes& outcomes);

/// Evidence that the target version is worse, and the number of responses behind it.
struct Evidence {
  /// In standard deviations; negative: the target version performs better.
  double strength = 0;
  /// Bad responses of the target version in excess of those that the former version would have
  /// given.
  double excess = 0;
};

/// Outcomes of all routes at both versions in the same time window. Not safe for concurrent use.
class VersionComparison {
public:
  /// Outcomes of one route at both versions.
  struct Route {
    OutcomeCounts former;
    OutcomeCounts target;
  };

  void add(uint64_t route, bool target, const OutcomeCounts& counts);
  /// @return the outcomes added since an earlier state of this comparison.
  VersionComparison since(const VersionComparison& earlier) const;

  /// @return the strongest evidence against the target version: failures of all routes together or
  /// of one route, or responses of one route that are late compared with the former version. A few
  /// bad responses are no evidence.
  Evidence strongest() const;

  /// @return the responses and failures of all routes. Response times are not included.
  OutcomeCounts totalOf(bool target) const;

private:
  /// By fingerprint of the route's name.
  std::map<uint64_t, Route> routes_;
};

/// @return the evidence against the target version from the shares of bad responses: the signed
/// root of the likelihood ratio, which, unlike the normal approximation, is also valid for few
/// responses.
Evidence compareShares(uint64_t target_bad, uint64_t target_all, uint64_t former_bad,
                       uint64_t former_all);

} // namespace workshatch::relay

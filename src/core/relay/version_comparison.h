/// @file
/// Outcomes of requests at runners of two versions, by route.
#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "core/relay/time_buckets.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Number of responses in each bucket of response times.
using ResponseTimes = std::array<uint32_t, kTimeBuckets>;

/// Outcomes of one route's requests at runners of one version. Counts are 32 bits wide, as in
/// reports, because a leader keeps them for many intervals.
struct OutcomeCounts {
  uint32_t ended = 0;
  uint32_t failed = 0;
  ResponseTimes first_times{};
  ResponseTimes step_times{};

  OutcomeCounts& operator+=(const OutcomeCounts& more);
  /// Counts since an earlier state of the same route and version. Counts never decrease.
  OutcomeCounts since(const OutcomeCounts& earlier) const;
};

OutcomeCounts countsOf(const v1::VersionOutcomes& outcomes);

/// Outcomes of all routes at both versions in the same time window. Not safe for concurrent use.
class VersionComparison {
public:
  /// Outcomes of one route at both versions.
  struct Route {
    OutcomeCounts former;
    OutcomeCounts target;
  };

  void add(uint64_t route, bool target, const OutcomeCounts& counts);
  VersionComparison& operator+=(const VersionComparison& more);

  /// By fingerprint of the route's name.
  const std::map<uint64_t, Route>& routes() const { return routes_; }

  /// @return the responses and failures of all routes. Response times are not included.
  OutcomeCounts totalOf(bool target) const;

private:
  std::map<uint64_t, Route> routes_;
};

} // namespace workshatch::relay

/// @file
/// Evidence that one version gives more bad responses than another, if bad responses come in
/// bursts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace workshatch::relay {

/// Bad responses, and all responses, of both versions.
struct ResponseShares {
  uint64_t target_bad = 0;
  uint64_t target_all = 0;
  uint64_t former_bad = 0;
  uint64_t former_all = 0;

  ResponseShares& operator+=(const ResponseShares& more);
};

/// Evidence against the target version, and what it rests on.
struct Evidence {
  /// In standard deviations; negative: the target version performs better.
  double strength = 0;
  /// Bad responses of the target version in excess of those that the former version would have
  /// given.
  double excess = 0;
  /// Measured variance of bad responses as a multiple of their variance if they were independent of
  /// each other; at least 1.
  double dispersion = 1;
  /// Number of intervals, or of groups of runners, with responses of the target version. Evidence
  /// is measured by either of them; the number of the other one is zero.
  size_t intervals = 0;
  size_t runner_groups = 0;
};

/// @return the evidence from responses that are independent of each other: the signed root of the
/// likelihood ratio, which, unlike the normal approximation, is also valid for few responses.
Evidence compareShares(const ResponseShares& shares);

/// How long intervals are compared with the pauses and faults that make responses bad together.
enum class IntervalLength {
  /// A fraction of a second.
  Short,
  /// About a second, as in a large fleet, whose relays report that often.
  Long,
};

/// @return the evidence from consecutive intervals.
///
/// One pause or fault of a process makes all requests in progress there bad, so that the number of
/// bad responses varies more than that of independent ones (over-dispersion). The variance is
/// measured by the differences between the target version's intervals, and the evidence is divided
/// by its root: `n` bursts are about as much evidence as `n` single bad responses, whatever their
/// size. Bursts have to be shorter than the intervals.
///
/// With too few intervals the variance is not known. There is no evidence then from short
/// intervals. From long ones, of which a rollout of some seconds has few, the responses count as
/// independent of each other, by the fraction `kIndependentWeight`.
Evidence compareIntervals(const std::vector<ResponseShares>& intervals, IntervalLength length);

/// Number of short and of long intervals that are needed to measure a variance. Most bursts are
/// shorter than a long interval.
inline constexpr size_t kMinIntervals = 8;
inline constexpr size_t kMinLongIntervals = 4;
/// Responses that are taken as independent have to differ more, because a burst makes several bad.
inline constexpr double kIndependentWeight = 0.9;

/// Bad responses, and all responses, at one group of the target version's runners.
struct GroupShares {
  uint64_t bad = 0;
  uint64_t all = 0;
};

/// @return the evidence from several groups of runners, which needs no minimum of time, so that a
/// version that fails many requests is detected after few of them.
///
/// A burst at one runner is no evidence: the group with the largest share of bad responses counts
/// with the share of the second worst one, and at least `kMinRunnerGroups` groups are needed. The
/// variance is measured by the differences between the groups, and between the former version's
/// intervals; the larger one counts. A burst that hits all runners hits the former version at the
/// same time.
///
/// @param intervals of both versions; those of the target version are not used
Evidence compareRunnerGroups(const std::vector<GroupShares>& groups,
                             const std::vector<ResponseShares>& intervals);

/// Number of groups of runners with responses that are needed for evidence.
inline constexpr size_t kMinRunnerGroups = 3;

} // namespace workshatch::relay

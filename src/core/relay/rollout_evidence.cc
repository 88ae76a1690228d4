#include "core/relay/rollout_evidence.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace workshatch::relay {

namespace {

/// Minimum number of responses of the former version for knowing its usual response times.
constexpr uint64_t kMinSamples = 20;
/// Fraction of the former version's responses that count as slower than usual.
constexpr double kSlowFraction = 0.05;
/// Minimum excess of bad responses for evidence, so that a single failing runner is none.
constexpr double kMinExcess = 6;
/// The same for evidence from groups of runners, which may be found while a burst lasts: two
/// runners that fail for a moment fail about ten requests that are in progress there.
constexpr double kMinExcessOfGroups = 15;
/// A response is late if it takes longer than the former version's slow responses by this number of
/// doublings. The first part of a response is allowed more, because it may take longer at a version
/// whose runners have no prompts cached yet.
constexpr size_t kLateStepDoublings = 1;
constexpr size_t kLateFirstDoublings = 2;
/// No response and no event in less than this time, in milliseconds, is late. The shortest
/// objective that callers state is 49 ms between two tokens; shorter differences come from the
/// scheduling of processes on a busy machine, and last as long as it is busy.
constexpr double kMinLateMs = 32;

uint64_t sumOf(const ResponseTimes& times) {
  return std::accumulate(times.begin(), times.end(), uint64_t{0});
}

uint64_t countAbove(const ResponseTimes& times, size_t bucket) {
  const size_t from = std::min(bucket + 1, times.size());
  return std::accumulate(times.begin() + static_cast<ptrdiff_t>(from), times.end(), uint64_t{0});
}

/// @return the first bucket above which at most `kSlowFraction` of the times lie.
size_t slowBucketOf(const ResponseTimes& times) {
  const auto allowed = static_cast<uint64_t>(kSlowFraction * static_cast<double>(sumOf(times)));
  size_t bucket = 0;
  while (bucket + 1 < times.size() && countAbove(times, bucket) > allowed) {
    ++bucket;
  }
  return bucket;
}

ResponseShares failuresOf(const VersionComparison::Route& route) {
  return ResponseShares{.target_bad = route.target.failed,
                        .target_all = route.target.ended,
                        .former_bad = route.former.failed,
                        .former_all = route.former.ended};
}

/// Clusters of a small fleet, whose relays report several times per second.
constexpr int64_t kShortClusterMs = 250;

/// Finds the strongest evidence in one window, whose intervals are joined into clusters.
class WindowEvaluation {
public:
  /// @param cluster_ms minimum length of a cluster
  WindowEvaluation(const OutcomeWindow& window, int64_t cluster_ms)
      : cluster_length_(cluster_ms > kShortClusterMs ? IntervalLength::Long
                                                     : IntervalLength::Short) {
    int64_t cluster_from_ms = 0;
    for (const OutcomeInterval* interval : window) {
      if (clusters_.empty() || interval->from_ms - cluster_from_ms >= cluster_ms) {
        clusters_.emplace_back();
        cluster_from_ms = interval->from_ms;
      }
      clusters_.back().push_back(interval);
      total_ += *interval;
    }
  }

  RolloutEvidence strongest() {
    compareFailures();
    for (const auto& [fingerprint, route] : total_.outcomes.routes()) {
      consider(RolloutCriterion::Failures,
               compareIntervals(sharesOf(fingerprint, failuresOf), cluster_length_));
      compareTimes(RolloutCriterion::FirstTimes, fingerprint, &OutcomeCounts::first_times,
                   kLateFirstDoublings);
      compareTimes(RolloutCriterion::StepTimes, fingerprint, &OutcomeCounts::step_times,
                   kLateStepDoublings);
    }
    return strongest_;
  }

private:
  using Shares = std::vector<ResponseShares>;
  using CountFunction = std::function<ResponseShares(const VersionComparison::Route&)>;

  void consider(RolloutCriterion criterion, const Evidence& evidence,
                double min_excess = kMinExcess) {
    const bool counts = evidence.excess >= min_excess;
    if (counts && strongest_.evidence.strength < evidence.strength) {
      strongest_ = RolloutEvidence{.criterion = criterion, .evidence = evidence};
    }
  }

  /// @return the responses of a route in each cluster, as the given function counts them.
  Shares sharesOf(uint64_t route, const CountFunction& count) const {
    Shares shares;
    for (const OutcomeWindow& cluster : clusters_) {
      ResponseShares& sum = shares.emplace_back();
      for (const OutcomeInterval* interval : cluster) {
        const auto found = interval->outcomes.routes().find(route);
        sum += found == interval->outcomes.routes().end() ? ResponseShares() : count(found->second);
      }
    }
    return shares;
  }

  Shares failuresOfAllRoutes() const {
    Shares shares;
    for (const OutcomeWindow& cluster : clusters_) {
      ResponseShares& sum = shares.emplace_back();
      for (const OutcomeInterval* interval : cluster) {
        for (const auto& [fingerprint, route] : interval->outcomes.routes()) {
          sum += failuresOf(route);
        }
      }
    }
    return shares;
  }

  void compareFailures() {
    const Shares shares = failuresOfAllRoutes();
    consider(RolloutCriterion::Failures, compareIntervals(shares, cluster_length_));
    std::vector<GroupShares> groups;
    for (size_t group = 0; group < kRunnerGroups; ++group) {
      groups.push_back(
          {.bad = total_.target_groups.failed[group], .all = total_.target_groups.ended[group]});
    }
    consider(RolloutCriterion::Failures, compareRunnerGroups(groups, shares), kMinExcessOfGroups);
  }

  void compareTimes(RolloutCriterion criterion, uint64_t route, ResponseTimes OutcomeCounts::*times,
                    size_t late_doublings) {
    const ResponseTimes& former = total_.outcomes.routes().at(route).former.*times;
    if (sumOf(former) < kMinSamples) {
      return;
    }
    const size_t late = std::max(slowBucketOf(former) + late_doublings * kBucketsPerDoubling,
                                 timeBucketOf(kMinLateMs));
    consider(criterion,
             compareIntervals(sharesOf(route,
                                       [&](const auto& outcomes) {
                                         return ResponseShares{
                                             .target_bad = countAbove(outcomes.target.*times, late),
                                             .target_all = sumOf(outcomes.target.*times),
                                             .former_bad = countAbove(outcomes.former.*times, late),
                                             .former_all = sumOf(outcomes.former.*times)};
                                       }),
                              cluster_length_));
  }

  const IntervalLength cluster_length_;
  std::vector<OutcomeWindow> clusters_;
  OutcomeInterval total_;
  RolloutEvidence strongest_;
};

} // namespace

const char* nameOf(RolloutCriterion criterion) {
  switch (criterion) {
  case RolloutCriterion::Failures:
    return "failures";
  case RolloutCriterion::FirstTimes:
    return "first_times";
  case RolloutCriterion::StepTimes:
    return "step_times";
  case RolloutCriterion::None:
    break;
  }
  return "none";
}

RolloutEvidence strongestEvidence(const OutcomeWindow& window, int64_t cluster_ms) {
  return WindowEvaluation(window, cluster_ms).strongest();
}

} // namespace workshatch::relay

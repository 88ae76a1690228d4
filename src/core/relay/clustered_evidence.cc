#include "core/relay/clustered_evidence.h"

#include <algorithm>
#include <cmath>

namespace workshatch::relay {

namespace {

/// Weight, in degrees of freedom, of the assumption that responses are independent. It matters
/// where few clusters are available, and is small enough for one burst of ten bad responses to
/// outweigh it.
constexpr double kPriorWeight = 4;
/// The same where groups of runners are compared: a trial uses three or four of them, whose
/// differences alone say little.
constexpr double kGroupPriorWeight = 8;

/// One term of the likelihood ratio; zero if nothing was observed.
double logTerm(double seen, double expected) {
  return seen == 0 ? 0 : seen * std::log(seen / expected);
}

/// Estimates the variance of bad responses between clusters, relative to the variance of
/// independent responses.
///
/// The estimate is the sum of the squared differences divided by the sum of the expected variances.
/// Pearson's statistic adds up the quotients of single clusters instead, in which a cluster with
/// few expected bad responses has as much weight as a large one.
class DispersionEstimate {
public:
  /// @param bad, all bad responses, and all responses, of all clusters together
  DispersionEstimate(uint64_t bad, uint64_t all)
      : share_(all == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(all)) {}

  void add(uint64_t bad, uint64_t all) {
    if (all == 0) {
      return;
    }
    const double expected = share_ * static_cast<double>(all);
    const double difference = static_cast<double>(bad) - expected;
    squares_ += difference * difference;
    variance_ += expected * (1 - share_);
    ++clusters_;
  }

  size_t clusters() const { return clusters_; }

  /// @param prior_weight weight of the ratio 1, in degrees of freedom
  /// @return the ratio to the variance of independent responses; at least 1.
  double value(double prior_weight) const {
    if (variance_ <= 0 || clusters_ < 2) {
      return 1;
    }
    const double chi_squared = squares_ / variance_ * static_cast<double>(clusters_);
    return std::max(1.0, (chi_squared + prior_weight) / (freedom() + prior_weight));
  }

  double freedom() const { return static_cast<double>(clusters_) - 1; }

private:
  const double share_;
  double squares_ = 0;
  double variance_ = 0;
  size_t clusters_ = 0;
};

ResponseShares sumOf(const std::vector<ResponseShares>& clusters) {
  ResponseShares sum;
  for (const ResponseShares& cluster : clusters) {
    sum += cluster;
  }
  return sum;
}

DispersionEstimate formerDispersion(const std::vector<ResponseShares>& intervals,
                                    const ResponseShares& sum) {
  DispersionEstimate estimate(sum.former_bad, sum.former_all);
  for (const ResponseShares& interval : intervals) {
    estimate.add(interval.former_bad, interval.former_all);
  }
  return estimate;
}

/// Divides the strength of the evidence by the root of a measured dispersion. The result has
/// Student's distribution, because the part of the variance that exceeds that of independent
/// responses is known from few clusters (Welch-Satterthwaite degrees of freedom); it is converted
/// to the quantile of the normal distribution with the same probability (Wallace's approximation).
void applyDispersion(Evidence& evidence, const DispersionEstimate& estimate) {
  evidence.dispersion = estimate.value(kPriorWeight);
  const double student = evidence.strength / std::sqrt(evidence.dispersion);
  if (evidence.dispersion <= 1) {
    return;
  }
  const double measured_part = 1 - 1 / evidence.dispersion;
  const double freedom = estimate.freedom() / (measured_part * measured_part);
  const double normal = std::sqrt(freedom * std::log1p(student * student / freedom)) *
                        (8 * freedom + 1) / (8 * freedom + 3);
  evidence.strength = std::copysign(normal, student);
}

double shareOf(const GroupShares& group) {
  return static_cast<double>(group.bad) / static_cast<double>(group.all);
}

/// Reduces the bad responses of the worst group to the share of the second worst one, so that a
/// burst at one runner does not count.
/// @param groups at least two, each with responses
void limitWorst(std::vector<GroupShares>& groups) {
  std::partial_sort(
      groups.begin(), groups.begin() + 2, groups.end(),
      [](const GroupShares& a, const GroupShares& b) { return shareOf(a) > shareOf(b); });
  const double limit = shareOf(groups[1]) * static_cast<double>(groups[0].all);
  groups[0].bad = static_cast<uint64_t>(std::lround(limit));
}

} // namespace

ResponseShares& ResponseShares::operator+=(const ResponseShares& more) {
  target_bad += more.target_bad;
  target_all += more.target_all;
  former_bad += more.former_bad;
  former_all += more.former_all;
  return *this;
}

Evidence compareShares(const ResponseShares& shares) {
  if (shares.target_all == 0 || shares.former_all == 0) {
    return {};
  }
  const auto target = static_cast<double>(shares.target_all);
  const auto former = static_cast<double>(shares.former_all);
  const auto bad_at_target = static_cast<double>(shares.target_bad);
  const auto bad_at_former = static_cast<double>(shares.former_bad);
  const double bad_share = (bad_at_target + bad_at_former) / (target + former);
  const double good_share = 1 - bad_share;
  const double ratio = logTerm(bad_at_target, target * bad_share) +
                       logTerm(target - bad_at_target, target * good_share) +
                       logTerm(bad_at_former, former * bad_share) +
                       logTerm(former - bad_at_former, former * good_share);
  const double strength = std::sqrt(std::max(2 * ratio, 0.0));
  const double excess = bad_at_target - target * bad_at_former / former;
  return Evidence{.strength = excess < 0 ? -strength : strength, .excess = excess};
}

Evidence compareIntervals(const std::vector<ResponseShares>& intervals, IntervalLength length) {
  const ResponseShares sum = sumOf(intervals);
  DispersionEstimate estimate(sum.target_bad, sum.target_all);
  for (const ResponseShares& interval : intervals) {
    estimate.add(interval.target_bad, interval.target_all);
  }
  const bool are_long = length == IntervalLength::Long;
  Evidence evidence = compareShares(sum);
  if (estimate.clusters() < (are_long ? kMinLongIntervals : kMinIntervals)) {
    evidence.strength *= kIndependentWeight;
    return are_long ? evidence : Evidence{};
  }
  applyDispersion(evidence, estimate);
  evidence.intervals = estimate.clusters();
  return evidence;
}

Evidence compareRunnerGroups(const std::vector<GroupShares>& groups,
                             const std::vector<ResponseShares>& intervals) {
  std::vector<GroupShares> used;
  std::copy_if(groups.begin(), groups.end(), std::back_inserter(used),
               [](const GroupShares& group) { return group.all > 0; });
  ResponseShares shares = sumOf(intervals);
  if (used.size() < kMinRunnerGroups || shares.former_all == 0) {
    return {};
  }
  limitWorst(used);
  shares.target_bad = 0;
  shares.target_all = 0;
  for (const GroupShares& group : used) {
    shares.target_bad += group.bad;
    shares.target_all += group.all;
  }
  DispersionEstimate estimate(shares.target_bad, shares.target_all);
  for (const GroupShares& group : used) {
    estimate.add(group.bad, group.all);
  }
  Evidence evidence = compareShares(shares);
  const DispersionEstimate former = formerDispersion(intervals, shares);
  evidence.dispersion =
      std::max(estimate.value(kGroupPriorWeight), former.value(kGroupPriorWeight));
  evidence.strength /= std::sqrt(evidence.dispersion);
  evidence.runner_groups = used.size();
  return evidence;
}

} // namespace workshatch::relay

#include "core/relay/version_comparison.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace workshatch::relay {

namespace {

using Times = std::array<uint64_t, kTimeBuckets>;

/// Minimum number of responses of the former version for knowing its usual response times.
constexpr uint64_t kMinSamples = 20;
/// Fraction of the former version's responses that count as slower than usual.
constexpr double kSlowFraction = 0.05;
/// Minimum excess of bad responses for evidence, so that a single failing runner is none.
constexpr double kMinExcess = 6;
/// A response is late if it takes longer than the former version's slow responses by this number of
/// doublings. The first part of a response is allowed more, because it may take longer at a version
/// whose runners have no prompts cached yet.
constexpr size_t kLateStepDoublings = 1;
constexpr size_t kLateFirstDoublings = 2;

uint64_t sumOf(const Times& times) {
  return std::accumulate(times.begin(), times.end(), uint64_t{0});
}

uint64_t countAbove(const Times& times, size_t bucket) {
  const size_t from = std::min(bucket + 1, times.size());
  return std::accumulate(times.begin() + static_cast<ptrdiff_t>(from), times.end(), uint64_t{0});
}

/// @return the first bucket above which at most `kSlowFraction` of the times lie.
size_t slowBucketOf(const Times& times) {
  const auto allowed = static_cast<uint64_t>(kSlowFraction * static_cast<double>(sumOf(times)));
  size_t bucket = 0;
  while (bucket + 1 < times.size() && countAbove(times, bucket) > allowed) {
    ++bucket;
  }
  return bucket;
}

Evidence compareTimes(const Times& target, const Times& former, size_t late_doublings) {
  const uint64_t former_all = sumOf(former);
  if (former_all < kMinSamples) {
    return {};
  }
  const size_t late = slowBucketOf(former) + late_doublings * kBucketsPerDoubling;
  return compareShares(countAbove(target, late), sumOf(target), countAbove(former, late),
                       former_all);
}

/// One term of the likelihood ratio; zero if nothing was observed.
double logTerm(double seen, double expected) {
  return seen == 0 ? 0 : seen * std::log(seen / expected);
}

Evidence stronger(const Evidence& current, const Evidence& other) {
  const bool counts = other.excess >= kMinExcess;
  return counts && current.strength < other.strength ? other : current;
}

Evidence compareFailures(const OutcomeCounts& target, const OutcomeCounts& former) {
  return compareShares(target.failed, target.ended, former.failed, former.ended);
}

} // namespace

OutcomeCounts& OutcomeCounts::operator+=(const OutcomeCounts& more) {
  ended += more.ended;
  failed += more.failed;
  for (size_t i = 0; i < kTimeBuckets; ++i) {
    first_times[i] += more.first_times[i];
    step_times[i] += more.step_times[i];
  }
  return *this;
}

OutcomeCounts OutcomeCounts::since(const OutcomeCounts& earlier) const {
  OutcomeCounts counts = *this;
  counts.ended -= earlier.ended;
  counts.failed -= earlier.failed;
  for (size_t i = 0; i < kTimeBuckets; ++i) {
    counts.first_times[i] -= earlier.first_times[i];
    counts.step_times[i] -= earlier.step_times[i];
  }
  return counts;
}

OutcomeCounts countsOf(const v1::VersionOutcomes& outcomes) {
  OutcomeCounts counts{.ended = outcomes.ended(), .failed = outcomes.failed()};
  const auto copyTimes = [](const auto& reported, Times& times) {
    const size_t known = std::min(static_cast<size_t>(reported.size()), times.size());
    std::copy_n(reported.begin(), known, times.begin());
  };
  copyTimes(outcomes.first_times(), counts.first_times);
  copyTimes(outcomes.step_times(), counts.step_times);
  return counts;
}

Evidence compareShares(uint64_t target_bad, uint64_t target_all, uint64_t former_bad,
                       uint64_t former_all) {
  if (target_all == 0 || former_all == 0) {
    return {};
  }
  const auto target = static_cast<double>(target_all);
  const auto former = static_cast<double>(former_all);
  const auto bad_at_target = static_cast<double>(target_bad);
  const auto bad_at_former = static_cast<double>(former_bad);
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

void VersionComparison::add(uint64_t route, bool target, const OutcomeCounts& counts) {
  Route& route_outcomes = routes_[route];
  (target ? route_outcomes.target : route_outcomes.former) += counts;
}

VersionComparison VersionComparison::since(const VersionComparison& earlier) const {
  VersionComparison difference;
  for (const auto& [name, route] : routes_) {
    const auto before = earlier.routes_.find(name);
    const Route base = before == earlier.routes_.end() ? Route() : before->second;
    difference.routes_[name] =
        Route{.former = route.former.since(base.former), .target = route.target.since(base.target)};
  }
  return difference;
}

Evidence VersionComparison::strongest() const {
  Evidence strongest = stronger({}, compareFailures(totalOf(true), totalOf(false)));
  for (const auto& [name, route] : routes_) {
    const OutcomeCounts& target = route.target;
    const OutcomeCounts& former = route.former;
    strongest = stronger(strongest, compareFailures(target, former));
    strongest = stronger(strongest,
                         compareTimes(target.first_times, former.first_times, kLateFirstDoublings));
    strongest =
        stronger(strongest, compareTimes(target.step_times, former.step_times, kLateStepDoublings));
  }
  return strongest;
}

OutcomeCounts VersionComparison::totalOf(bool target) const {
  OutcomeCounts total;
  for (const auto& [name, route] : routes_) {
    const OutcomeCounts& counts = target ? route.target : route.former;
    total.ended += counts.ended;
    total.failed += counts.failed;
  }
  return total;
}

} // namespace workshatch::relay

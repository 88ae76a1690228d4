#include "core/relay/version_comparison.h"

#include <algorithm>

namespace workshatch::relay {

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
  const auto copyTimes = [](const auto& reported, ResponseTimes& times) {
    const size_t known = std::min(static_cast<size_t>(reported.size()), times.size());
    std::copy_n(reported.begin(), known, times.begin());
  };
  copyTimes(outcomes.first_times(), counts.first_times);
  copyTimes(outcomes.step_times(), counts.step_times);
  return counts;
}

void VersionComparison::add(uint64_t route, bool target, const OutcomeCounts& counts) {
  Route& route_outcomes = routes_[route];
  (target ? route_outcomes.target : route_outcomes.former) += counts;
}

VersionComparison& VersionComparison::operator+=(const VersionComparison& more) {
  for (const auto& [fingerprint, route] : more.routes_) {
    Route& sum = routes_[fingerprint];
    sum.former += route.former;
    sum.target += route.target;
  }
  return *this;
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

#include "core/scheduling/priority_shares.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace workshatch::relay {

namespace {

/// Time constant with which older requests lose their weight.
constexpr double kTimeConstantMs = 10'000;
/// Sum of the requests' weights from which on the shares are known.
constexpr double kMinRequests = 20;
/// Share of the requests from which on a priority counts fully.
constexpr double kFullStepShare = 0.025;

} // namespace

double PriorityShares::weightAt(const ServiceCounts& counts, int64_t now_ms) {
  return std::exp(-static_cast<double>(now_ms - counts.updated_ms) / kTimeConstantMs);
}

void PriorityShares::record(const std::string& service, uint32_t priority, int64_t now_ms) {
  ServiceCounts& counted = services_[service];
  const double weight = weightAt(counted, now_ms);
  for (double& requests : counted.requests) {
    requests *= weight;
  }
  counted.updated_ms = now_ms;
  ++counted.requests[std::min<size_t>(priority, kPriorities - 1)];
}

std::optional<double> PriorityShares::reservedSteps(const std::string& service, uint32_t priority,
                                                    int64_t now_ms) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return std::nullopt;
  }
  const auto& requests = found->second.requests;
  const double total = std::accumulate(requests.begin(), requests.end(), 0.0);
  if (total * weightAt(found->second, now_ms) < kMinRequests) {
    return std::nullopt;
  }
  const size_t more_urgent = std::min<size_t>(priority, kPriorities - 1);
  double steps = 0;
  for (size_t urgent = 0; urgent < more_urgent; ++urgent) {
    steps += std::min(requests[urgent] / total / kFullStepShare, 1.0);
  }
  return steps;
}

} // namespace workshatch::relay

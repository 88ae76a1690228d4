#include "core/relay/cold_runners.h"

#include <algorithm>

namespace workshatch::relay {

namespace {

constexpr double kMsPerSecond = 1000;

} // namespace

void ColdRunners::setServices(const std::vector<Service>& services) {
  services_.clear();
  for (const Service& service : services) {
    if (service.cold_requests_per_s > 0) {
      services_[service.name] =
          ColdCapacity{.cold_ms = static_cast<int64_t>(service.cold_s * kMsPerSecond),
                       .pace = rateLimitFor(service.cold_requests_per_s, factor_, slack_)};
    }
  }
}

void ColdRunners::recordReportedCold(Runner& runner, uint32_t cold_ms, int64_t now_ms) const {
  if (cold_ms != 0) {
    runner.cold_until_ms = std::max(runner.cold_until_ms, now_ms + cold_ms);
  }
}

void ColdRunners::recordProcessStart(Runner& runner, int64_t now_ms) const {
  const auto service = services_.find(runner.entry.service());
  if (service != services_.end()) {
    runner.cold_until_ms = std::max(runner.cold_until_ms, now_ms + service->second.cold_ms);
  }
}

uint32_t ColdRunners::coldMs(const Runner& runner, int64_t now_ms) const {
  const bool cold = runner.cold_until_ms > now_ms && services_.contains(runner.entry.service());
  return cold ? static_cast<uint32_t>(runner.cold_until_ms - now_ms) : 0;
}

RateLimit ColdRunners::paceLimitFor(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? RateLimit{} : found->second.pace;
}

} // namespace workshatch::relay

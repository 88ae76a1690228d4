#include "core/limits/tenant_limiter.h"

#include <algorithm>

namespace workshatch::limits {

namespace {

constexpr double kMillisecondsPerSecond = 1000.0;
/// Retry delay for tenants that have no rate limit.
constexpr uint32_t kInFlightRetryMs = 500;

} // namespace

void TenantLimiter::configure(const v1::Configuration& configuration) {
  for (auto& [name, state] : tenants_) {
    state.configured = false;
  }
  for (const v1::Tenant& tenant : configuration.tenants()) {
    TenantState& state = tenants_[tenant.name()];
    if (state.per_second != tenant.requests_per_second()) {
      state.tokens = tenant.requests_per_second();
    }
    state.configured = true;
    state.max_in_flight = tenant.max_in_flight();
    state.per_second = tenant.requests_per_second();
  }
  std::erase_if(tenants_, [](const auto& entry) {
    return !entry.second.configured && entry.second.in_flight == 0;
  });
}

LimitVerdict TenantLimiter::admit(const std::string& tenant, int64_t now_ms) {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end() || !found->second.configured) {
    return LimitVerdict::UnknownTenant;
  }
  TenantState& state = found->second;
  if (state.max_in_flight != 0 && state.in_flight >= state.max_in_flight) {
    return LimitVerdict::TooManyInFlight;
  }
  if (state.per_second != 0) {
    const double filled =
        static_cast<double>(now_ms - state.refilled_ms) * state.per_second / kMillisecondsPerSecond;
    state.tokens = std::min<double>(state.per_second, state.tokens + filled);
    state.refilled_ms = now_ms;
    if (state.tokens < 1) {
      return LimitVerdict::TooManyPerSecond;
    }
    state.tokens -= 1;
  }
  ++state.in_flight;
  return LimitVerdict::Admitted;
}

void TenantLimiter::release(const std::string& tenant) {
  const auto found = tenants_.find(tenant);
  if (found != tenants_.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
  }
}

uint32_t TenantLimiter::retryAfterMs(const std::string& tenant) const {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end() || found->second.per_second == 0) {
    return kInFlightRetryMs;
  }
  const double missing = std::max(0.0, 1 - found->second.tokens);
  return static_cast<uint32_t>(missing * kMillisecondsPerSecond / found->second.per_second) + 1;
}

} // namespace workshatch::limits

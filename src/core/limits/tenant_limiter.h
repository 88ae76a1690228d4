/// @file
/// Limits of each tenant at one router: requests in progress and requests per second.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "workshatch/v1/configuration.pb.h"

namespace workshatch::limits {

enum class LimitVerdict { Admitted, UnknownTenant, TooManyInFlight, TooManyPerSecond };

/// Enforces the limits of tenants. Times are milliseconds of a monotonic clock. Not safe for
/// concurrent use.
class TenantLimiter {
public:
  /// Applies the tenants of a configuration. Requests in progress stay counted.
  void configure(const v1::Configuration& configuration);

  /// Admits a request and counts it as in progress, if its tenant's limits allow this.
  LimitVerdict admit(const std::string& tenant, int64_t now_ms);
  /// Ends a request that `admit` admitted.
  void release(const std::string& tenant);

  /// @return milliseconds until the tenant's rate may allow another request; a fixed delay for
  /// tenants without a rate limit.
  uint32_t retryAfterMs(const std::string& tenant) const;

private:
  struct TenantState {
    bool configured = false;
    uint32_t max_in_flight = 0;
    uint32_t per_second = 0;
    uint32_t in_flight = 0;
    /// Token bucket, refilled at `per_second`, with a capacity of one second's refill.
    double tokens = 0;
    int64_t refilled_ms = 0;
  };

  std::map<std::string, TenantState> tenants_;
};

} // namespace workshatch::limits

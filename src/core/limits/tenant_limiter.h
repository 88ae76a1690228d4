/// @file
/// Limits of tenants at one router: requests in progress and requests a second.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "workshatch/v1/configuration.pb.h"

namespace workshatch::limits {

enum class LimitVerdict { Admitted, UnknownTenant, TooManyInFlight, TooManyPerSecond };

/// Times are milliseconds of a monotonic clock. Not safe for concurrent use.
class TenantLimiter {
public:
  /// Takes over the tenants of a configuration; what is in progress stays counted.
  void configure(const v1::Configuration& configuration);

  /// Counts a request in when its tenant's limits allow it.
  LimitVerdict admit(const std::string& tenant, int64_t now_ms);
  /// Counts out a request that `admit` admitted.
  void release(const std::string& tenant);

  /// Milliseconds until one more request of the tenant may be admitted by its rate.
  uint32_t retryAfterMs(const std::string& tenant) const;

private:
  struct TenantState {
    bool configured = false;
    uint32_t max_in_flight = 0;
    uint32_t per_second = 0;
    uint32_t in_flight = 0;
    /// Token bucket, filled at `per_second`, holding at most one second's worth.
    double tokens = 0;
    int64_t refilled_ms = 0;
  };

  std::map<std::string, TenantState> tenants_;
};

} // namespace workshatch::limits

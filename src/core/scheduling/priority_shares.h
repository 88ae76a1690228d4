/// @file
/// How common the priorities of a service's requests are.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace workshatch::relay {

/// Number of priorities; 0 is the most urgent.
inline constexpr size_t kPriorities = 10;

/// Counts a service's requests by priority, and derives for how many more urgent priorities a
/// request has to leave slots free.
///
/// Load pattern: the priorities in use begin well below the most urgent one, because tenants have
/// priorities too. Slots that are reserved for priorities without requests are then never used,
/// which under overload is capacity lost. A priority counts in proportion to its share of the
/// requests, and fully from a fortieth on. With the default of 0.05 for
/// `SlotLimitOptions::reserved_fraction_per_priority`, twice its share of the slots is thus
/// reserved for it, and at most a twentieth of them.
///
/// Limits: the shares are those of this relay, over about the last 10 s. Until it has received 20
/// requests of a service in that time, the shares are not known.
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class PriorityShares {
public:
  /// @param priority below `kPriorities`; a higher one counts as the least urgent
  void record(const std::string& service, uint32_t priority, int64_t now_ms);

  /// @return the number of more urgent priorities, each weighted from 0 to 1 by how common it is;
  /// nullopt if the shares are not known.
  std::optional<double> reservedSteps(const std::string& service, uint32_t priority,
                                      int64_t now_ms) const;

private:
  struct ServiceCounts {
    /// Requests by priority, weighted by their age at `updated_ms`.
    std::array<double, kPriorities> requests{};
    int64_t updated_ms = 0;
  };

  static double weightAt(const ServiceCounts& counts, int64_t now_ms);

  std::map<std::string, ServiceCounts> services_;
};

} // namespace workshatch::relay

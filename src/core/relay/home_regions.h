/// @file
/// The region of each zone, and the regions in which a request may run.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace workshatch::relay {

/// The region of each zone, as given in the settings. Immutable.
class ZoneRegions {
public:
  /// Contains no zone; requests may then run anywhere.
  ZoneRegions() = default;
  /// @param regions names of regions by zone
  explicit ZoneRegions(std::map<std::string, std::string> regions) : regions_(std::move(regions)) {}

  bool empty() const { return regions_.empty(); }
  bool contains(const std::string& zone) const { return regions_.contains(zone); }
  /// @return the name of the region; empty if the zone is unknown.
  std::string regionOf(const std::string& zone) const {
    const auto found = regions_.find(zone);
    return found == regions_.end() ? std::string() : found->second;
  }

private:
  std::map<std::string, std::string> regions_;
};

/// The regions to which a request's route and tenant restrict it; if both name regions, both
/// restrictions apply. The lists belong to the configuration under which the request is handled.
struct HomeRegions {
  /// Null or empty: any region.
  const std::vector<std::string>* of_route = nullptr;
  const std::vector<std::string>* of_tenant = nullptr;

  /// @param region empty if unknown; an unknown region is not allowed if the route or the tenant
  /// names regions
  bool allow(const std::string& region) const {
    return allowedBy(of_route, region) && allowedBy(of_tenant, region);
  }

private:
  static bool allowedBy(const std::vector<std::string>* regions, const std::string& region) {
    return regions == nullptr || regions->empty() ||
           std::find(regions->begin(), regions->end(), region) != regions->end();
  }
};

} // namespace workshatch::relay

/// @file
/// Regions: which one a zone lies in, and in which ones a request may run.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace workshatch::relay {

/// The region of each zone, as the settings tell it. Immutable.
class ZoneRegions {
public:
  /// Knows no zone: requests may run anywhere then.
  ZoneRegions() = default;
  /// @param regions names of regions by zone
  explicit ZoneRegions(std::map<std::string, std::string> regions) : regions_(std::move(regions)) {}

  bool empty() const { return regions_.empty(); }
  bool contains(const std::string& zone) const { return regions_.contains(zone); }
  /// @return the region's name; empty: the zone is not known.
  std::string regionOf(const std::string& zone) const {
    const auto found = regions_.find(zone);
    return found == regions_.end() ? std::string() : found->second;
  }

private:
  std::map<std::string, std::string> regions_;
};

/// The regions that a request's route and tenant may run in; where both name some, both bind. The
/// lists belong to the configuration that the request goes by.
struct HomeRegions {
  /// Null or empty: any region.
  const std::vector<std::string>* of_route = nullptr;
  const std::vector<std::string>* of_tenant = nullptr;

  /// @param region empty: not known, so that it is none of those named
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

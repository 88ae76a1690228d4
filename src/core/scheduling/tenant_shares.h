/// @file
/// Which tenants use more than their share of a busy fleet.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/relay/configuration.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// A relay's side: its requests in progress by tenant, and the tenants that the leader reported as
/// over their share. Messages identify tenants by their position in the configuration of a given
/// version. Not safe for concurrent use.
class TenantUsage {
public:
  void begin(const std::string& tenant) { ++in_progress_[tenant]; }
  void end(const std::string& tenant);

  v1::TenantLoads report(const Configuration& configuration) const;

  /// Sets the tenants that are over their share. Positions in another configuration are ignored.
  void setOverShare(const v1::TenantPositions& over_share, const Configuration& configuration);
  bool overShare(const std::string& tenant) const { return over_share_.contains(tenant); }

private:
  std::map<std::string, uint32_t> in_progress_;
  std::set<std::string> over_share_;
};

/// The leader's side: totals over the relays that have the same configuration.
class TenantTotals {
public:
  explicit TenantTotals(uint64_t configuration_version) : version_(configuration_version) {}

  /// Adds one relay's report; a report for another configuration is ignored.
  void add(const v1::TenantLoads& report);

  /// @param slots number of requests that all runners process at the same time
  /// @return the tenants that use far more than an equal share of the requests in progress; none
  /// unless nearly all slots are taken.
  v1::TenantPositions overShare(uint64_t slots) const;

private:
  const uint64_t version_;
  /// Requests in progress by position in the configuration.
  std::vector<uint32_t> in_progress_;
};

} // namespace workshatch::relay

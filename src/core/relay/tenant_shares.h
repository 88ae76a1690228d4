/// @file
/// Which tenants use more of a busy fleet than their share.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/relay/configuration.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// One relay's part: its requests in progress by tenant, and what the leader told of the tenants.
/// Tenants travel as positions in the configuration with a version. Not safe for concurrent use.
class TenantUsage {
public:
  void begin(const std::string& tenant) { ++in_progress_[tenant]; }
  void end(const std::string& tenant);

  v1::TenantLoads report(const Configuration& configuration) const;

  /// Takes the tenants that are over their share; what names another configuration is left out.
  void setOverShare(const v1::TenantPositions& over_share, const Configuration& configuration);
  bool overShare(const std::string& tenant) const { return over_share_.contains(tenant); }

private:
  std::map<std::string, uint32_t> in_progress_;
  std::set<std::string> over_share_;
};

/// The leader's part: sums over the relays that hold the same configuration.
class TenantTotals {
public:
  explicit TenantTotals(uint64_t configuration_version) : version_(configuration_version) {}

  /// Adds one relay's report; one about another configuration is left out.
  void add(const v1::TenantLoads& report);

  /// @param places requests that all runners work on at the same time
  /// @return the tenants with far more than an equal part of what is in progress; none while most
  /// places are free.
  v1::TenantPositions overShare(uint64_t places) const;

private:
  const uint64_t version_;
  /// Requests in progress by position in the configuration.
  std::vector<uint32_t> in_progress_;
};

} // namespace workshatch::relay

/// @file
/// Lookups in one configuration: routes by host and longest prefix, tenants by key, services by
/// name.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/relay/configuration.h"

namespace workshatch::relay {

/// An immutable index over a valid configuration. Pointers that it returns are valid for its
/// lifetime. Safe for concurrent use.
class RouteTable {
public:
  explicit RouteTable(Configuration configuration);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  uint64_t version() const { return configuration_.version; }
  const Configuration& configuration() const { return configuration_; }

  /// @param host value of the Host header in any case; a port is ignored
  /// @param path path without query
  /// @return the route of this host with the longest prefix that the path begins with, or null.
  const Route* findRoute(std::string_view host, std::string_view path) const;

  /// @return the names of the services that the routes of this host use; a port is ignored.
  std::vector<std::string> servicesOf(std::string_view host) const;

  /// @return the tenant that owns the key, or null.
  const Tenant* findTenant(std::string_view key) const;

  /// @return the service, or null.
  const Service* findService(std::string_view name) const;

  /// Selects one of the route's services at random, according to their weights.
  /// @param draw random number; equal numbers select the same service
  static const std::string& pickService(const Route& route, uint64_t draw);

private:
  Configuration configuration_;
  /// Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> routes_;
  std::map<std::string, const Tenant*, std::less<>> tenants_;
  std::map<std::string, const Service*, std::less<>> services_;
};

/// @return the host in lower case, without a port.
std::string normalizedHost(std::string_view host);

} // namespace workshatch::relay

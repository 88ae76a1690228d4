#include "core/relay/configuration.h"

#include <set>
#include <utility>

namespace workshatch::relay {

namespace {

std::optional<Error> findRouteError(const Route& route, const std::set<std::string>& services) {
  const std::string where = "route \"" + route.name + "\": ";
  if (route.host.empty()) {
    return Error{where + "the host is empty"};
  }
  if (route.path_prefix.empty() || route.path_prefix.front() != '/' ||
      route.path_prefix.back() != '/') {
    return Error{where + "the path prefix does not begin and end with a slash"};
  }
  if (route.timeout_ms == 0) {
    return Error{where + "the time limit is 0"};
  }
  if (route.targets.empty()) {
    return Error{where + "no service is named"};
  }
  uint64_t weights = 0;
  for (const RouteTarget& target : route.targets) {
    if (!services.contains(target.service)) {
      return Error{where + "service \"" + target.service + "\" is not declared"};
    }
    weights += target.weight;
  }
  if (weights == 0) {
    return Error{where + "the weights add up to 0"};
  }
  return std::nullopt;
}

std::optional<Error> findTenantError(const std::vector<Tenant>& tenants) {
  std::set<std::string> names;
  std::set<std::string> keys;
  for (const Tenant& tenant : tenants) {
    const std::string where = "tenant \"" + tenant.name + "\": ";
    if (!names.insert(tenant.name).second) {
      return Error{where + "declared twice"};
    }
    std::set<std::string> own;
    for (const std::string& key : tenant.keys) {
      // The key itself is a secret and stays out of the message.
      if (own.insert(key).second && !keys.insert(key).second) {
        return Error{where + "shares a key with another tenant"};
      }
    }
  }
  return std::nullopt;
}

} // namespace

std::optional<Error> findConfigurationError(const Configuration& configuration) {
  std::set<std::string> services;
  for (const Service& service : configuration.services) {
    if (!services.insert(service.name).second) {
      return Error{"service \"" + service.name + "\" is declared twice"};
    }
  }
  std::set<std::pair<std::string, std::string>> hosts_and_prefixes;
  for (const Route& route : configuration.routes) {
    if (auto error = findRouteError(route, services)) {
      return error;
    }
    if (!hosts_and_prefixes.emplace(route.host, route.path_prefix).second) {
      return Error{"route \"" + route.name + "\": another route has the same host and prefix"};
    }
  }
  return findTenantError(configuration.tenants);
}

} // namespace workshatch::relay

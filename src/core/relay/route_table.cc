#include "core/relay/route_table.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>

namespace workshatch::relay {

std::string normalizedHost(std::string_view host) {
  const size_t colon = host.rfind(':');
  // The colons of an IPv6 literal stand inside brackets.
  if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos) {
    host = host.substr(0, colon);
  }
  std::string lower(host);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return lower;
}

RouteTable::RouteTable(Configuration configuration) : configuration_(std::move(configuration)) {
  for (const Route& route : configuration_.routes) {
    routes_[normalizedHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : routes_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) {
      return left->path_prefix.size() > right->path_prefix.size();
    });
  }
  for (const Tenant& tenant : configuration_.tenants) {
    for (const std::string& key : tenant.keys) {
      tenants_.emplace(key, &tenant);
    }
  }
  for (const Service& service : configuration_.services) {
    services_.emplace(service.name, &service);
  }
}

const Route* RouteTable::findRoute(std::string_view host, std::string_view path) const {
  const auto found = routes_.find(normalizedHost(host));
  if (found == routes_.end()) {
    return nullptr;
  }
  for (const Route* route : found->second) {
    if (path.starts_with(route->path_prefix)) {
      return route;
    }
  }
  return nullptr;
}

std::vector<std::string> RouteTable::servicesOf(std::string_view host) const {
  std::set<std::string> services;
  const auto found = routes_.find(normalizedHost(host));
  if (found == routes_.end()) {
    return {};
  }
  for (const Route* route : found->second) {
    for (const RouteTarget& target : route->targets) {
      services.insert(target.service);
    }
  }
  return {services.begin(), services.end()};
}

const Tenant* RouteTable::findTenant(std::string_view key) const {
  const auto found = tenants_.find(key);
  return found == tenants_.end() ? nullptr : found->second;
}

const Service* RouteTable::findService(std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second;
}

const std::string& RouteTable::pickService(const Route& route, uint64_t draw) {
  uint64_t total = 0;
  for (const RouteTarget& target : route.targets) {
    total += target.weight;
  }
  uint64_t point = draw % total;
  for (const RouteTarget& target : route.targets) {
    if (point < target.weight) {
      return target.service;
    }
    point -= target.weight;
  }
  return route.targets.back().service;
}

} // namespace workshatch::relay

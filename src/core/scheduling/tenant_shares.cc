#include "core/scheduling/tenant_shares.h"

#include <algorithm>
#include <numeric>

namespace workshatch::relay {

namespace {

/// A tenant is over its share if it uses more than this many equal shares. Tenants of the same size
/// differ by less than that by chance.
constexpr double kEqualSharesAllowed = 1.5;
/// Shares are enforced while more than this fraction of the slots is taken.
constexpr double kBusyFraction = 0.9;
/// Positions from this on are ignored: no configuration that can be stored has so many tenants.
constexpr uint32_t kMaxTenants = 100'000;

} // namespace

void TenantUsage::end(const std::string& tenant) {
  const auto found = in_progress_.find(tenant);
  if (found != in_progress_.end() && --found->second == 0) {
    in_progress_.erase(found);
  }
}

v1::TenantLoads TenantUsage::report(const Configuration& configuration) const {
  v1::TenantLoads report;
  report.set_configuration_version(configuration.version);
  for (uint32_t position = 0; position < configuration.tenants.size(); ++position) {
    const auto found = in_progress_.find(configuration.tenants[position].name);
    if (found != in_progress_.end()) {
      report.add_positions(position);
      report.add_in_progress(found->second);
    }
  }
  return report;
}

void TenantUsage::setOverShare(const v1::TenantPositions& over_share,
                               const Configuration& configuration) {
  if (over_share.configuration_version() != configuration.version) {
    return;
  }
  over_share_.clear();
  for (const uint32_t position : over_share.positions()) {
    if (position < configuration.tenants.size()) {
      over_share_.insert(configuration.tenants[position].name);
    }
  }
}

void TenantTotals::add(const v1::TenantLoads& report) {
  if (report.configuration_version() != version_ ||
      report.positions_size() != report.in_progress_size()) {
    return;
  }
  for (int i = 0; i < report.positions_size(); ++i) {
    const uint32_t position = report.positions(i);
    if (position >= kMaxTenants) {
      continue;
    }
    if (position >= in_progress_.size()) {
      in_progress_.resize(position + 1, 0);
    }
    in_progress_[position] += report.in_progress(i);
  }
}

v1::TenantPositions TenantTotals::overShare(uint64_t slots) const {
  v1::TenantPositions over_share;
  over_share.set_configuration_version(version_);
  const uint64_t total = std::accumulate(in_progress_.begin(), in_progress_.end(), uint64_t{0});
  const auto idle = std::count(in_progress_.begin(), in_progress_.end(), uint32_t{0});
  const auto active = static_cast<double>(in_progress_.size()) - static_cast<double>(idle);
  if (static_cast<double>(total) <= kBusyFraction * static_cast<double>(slots)) {
    return over_share;
  }
  const double allowed = kEqualSharesAllowed * static_cast<double>(total) / active;
  for (uint32_t position = 0; position < in_progress_.size(); ++position) {
    if (in_progress_[position] > allowed) {
      over_share.add_positions(position);
    }
  }
  return over_share;
}

} // namespace workshatch::relay

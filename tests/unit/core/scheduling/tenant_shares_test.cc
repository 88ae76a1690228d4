/// @file
/// Tenants that use more of a busy fleet than their share.
#include <doctest/doctest.h>

#include "core/scheduling/tenant_shares.h"

namespace workshatch::test {

namespace {

relay::Configuration threeTenants(uint64_t version) {
  relay::Configuration configuration;
  configuration.version = version;
  for (const char* name : {"a", "b", "c"}) {
    configuration.tenants.push_back(relay::Tenant{.name = name});
  }
  return configuration;
}

} // namespace

TEST_CASE("A tenant with far more than an equal share is over its share on a busy fleet only") {
  const relay::Configuration configuration = threeTenants(7);
  relay::TenantUsage first;
  relay::TenantUsage second;
  for (int i = 0; i < 20; ++i) {
    first.begin("b");
    second.begin("b");
  }
  for (int i = 0; i < 5; ++i) {
    first.begin("a");
    second.begin("c");
  }
  relay::TenantTotals totals(7);
  totals.add(first.report(configuration));
  totals.add(second.report(configuration));
  CHECK(totals.overShare(60).positions_size() == 0);
  const v1::TenantPositions over_share = totals.overShare(50);
  REQUIRE(over_share.positions_size() == 1);
  CHECK(over_share.positions(0) == 1);
  first.setOverShare(over_share, configuration);
  CHECK(first.overShare("b"));
  CHECK_FALSE(first.overShare("a"));
  // In another configuration the positions belong to other tenants.
  second.setOverShare(over_share, threeTenants(8));
  CHECK_FALSE(second.overShare("b"));
}

TEST_CASE("Reports for another configuration and corrupt reports are ignored") {
  relay::TenantTotals totals(7);
  v1::TenantLoads report;
  report.set_configuration_version(6);
  report.add_positions(0);
  report.add_in_progress(100);
  totals.add(report);
  report.set_configuration_version(7);
  report.add_positions(1);
  totals.add(report);
  report.add_in_progress(1);
  report.set_positions(0, 4'000'000'000);
  totals.add(report);
  CHECK(totals.overShare(0).positions_size() == 0);
  relay::TenantUsage usage;
  usage.begin("a");
  usage.end("a");
  usage.end("a");
  CHECK(usage.report(threeTenants(7)).positions_size() == 0);
}

} // namespace workshatch::test

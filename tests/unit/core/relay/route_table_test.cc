/// @file
/// Configurations: faults, routes by host and longest prefix, keys, weights.
#include <map>

#include <doctest/doctest.h>

#include "core/relay/configuration.h"
#include "core/relay/group_state.h"
#include "core/relay/route_table.h"

namespace workshatch::test {

namespace {

relay::Route route(const std::string& host, const std::string& prefix, const std::string& service) {
  relay::Route made;
  made.name = host + prefix;
  made.host = host;
  made.path_prefix = prefix;
  made.timeout_ms = 1000;
  made.targets.push_back(relay::RouteTarget{.service = service});
  return made;
}

relay::Configuration valid() {
  relay::Configuration made;
  made.version = 3;
  made.services = {relay::Service{.name = "a"}, relay::Service{.name = "b"}};
  made.routes = {route("one.example", "/", "a"), route("one.example", "/x/", "b"),
                 route("two.example", "/x/", "a")};
  made.tenants = {relay::Tenant{.name = "t", .keys = {"k1", "k2"}},
                  relay::Tenant{.name = "u", .keys = {"k3"}}};
  return made;
}

} // namespace

TEST_CASE("A valid configuration has no fault") {
  CHECK_FALSE(relay::findConfigurationError(valid()));
}

TEST_CASE("Each fault of a configuration is found and names its entry") {
  relay::Configuration made = valid();
  SUBCASE("a service that is not declared") { made.routes[1].targets[0].service = "none"; }
  SUBCASE("two routes in the same place") { made.routes[1].path_prefix = "/"; }
  SUBCASE("weights that add up to 0") { made.routes[1].targets[0].weight = 0; }
  SUBCASE("no target") { made.routes[1].targets.clear(); }
  SUBCASE("no time") { made.routes[1].timeout_ms = 0; }
  SUBCASE("a prefix without its slash") { made.routes[1].path_prefix = "/x"; }
  const auto fault = relay::findConfigurationError(made);
  REQUIRE(fault);
  CHECK(fault->message.find("route \"one.example/x/\"") != std::string::npos);
}

TEST_CASE("Two tenants that share a key are a fault that does not show the key") {
  relay::Configuration made = valid();
  made.tenants[1].keys.emplace_back("k1");
  const auto fault = relay::findConfigurationError(made);
  REQUIRE(fault);
  CHECK(fault->message.find("tenant \"u\"") != std::string::npos);
  CHECK(fault->message.find("k1") == std::string::npos);
}

TEST_CASE("The longest prefix of the host wins") {
  const relay::RouteTable table(valid());
  CHECK(table.findRoute("one.example", "/y")->path_prefix == "/");
  CHECK(table.findRoute("ONE.example:8080", "/x/1")->path_prefix == "/x/");
  CHECK(table.findRoute("one.example", "/x")->path_prefix == "/");
  CHECK(table.findRoute("two.example", "/y") == nullptr);
  CHECK(table.findRoute("three.example", "/x/") == nullptr);
}

TEST_CASE("Keys lead to their tenant") {
  const relay::RouteTable table(valid());
  CHECK(table.findTenant("k2")->name == "t");
  CHECK(table.findTenant("k9") == nullptr);
  CHECK(table.findTenant("") == nullptr);
}

TEST_CASE("Requests are split by weight, the same draw always alike") {
  relay::Route split = route("h", "/", "a");
  split.targets = {relay::RouteTarget{.service = "a", .weight = 90},
                   relay::RouteTarget{.service = "none", .weight = 0},
                   relay::RouteTarget{.service = "b", .weight = 10}};
  std::map<std::string, int> counts;
  for (uint64_t draw = 0; draw < 1000; ++draw) {
    ++counts[relay::RouteTable::pickService(split, draw)];
  }
  CHECK(counts["a"] == 900);
  CHECK(counts["b"] == 100);
  CHECK(counts.size() == 2);
}

TEST_CASE("The group keeps the highest version and never changes what stands under one") {
  relay::GroupState held;
  const auto store = [&](uint64_t version, const std::string& document) {
    v1::GroupCommand command;
    command.mutable_store()->set_version(version);
    command.mutable_store()->set_compressed_document(document);
    return held.apply(command.SerializeAsString(), version) ==
           relay::GroupState::Change::Configuration;
  };
  CHECK(store(5, "five"));
  CHECK_FALSE(store(5, "other"));
  CHECK_FALSE(store(4, "four"));
  CHECK(held.apply("no command", 6) == relay::GroupState::Change::None);
  CHECK(held.configuration().compressed_document() == "five");
  relay::GroupState restored;
  CHECK(restored.restore(held.save()));
  CHECK(restored.configuration().version() == 5);
}

} // namespace workshatch::test

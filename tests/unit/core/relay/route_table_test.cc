/// @file
/// Configurations: validation, routes by host and longest prefix, keys and weights.
#include <map>

#include <doctest/doctest.h>

#include "core/relay/configuration.h"
#include "core/relay/group_state.h"
#include "core/relay/route_table.h"

namespace workshatch::test {

namespace {

relay::Route route(const std::string& host, const std::string& prefix, const std::string& service) {
  relay::Route result;
  result.name = host + prefix;
  result.host = host;
  result.path_prefix = prefix;
  result.timeout_ms = 1000;
  result.targets.push_back(relay::RouteTarget{.service = service});
  return result;
}

relay::Configuration valid() {
  relay::Configuration result;
  result.version = 3;
  result.services = {relay::Service{.name = "a"}, relay::Service{.name = "b"}};
  result.routes = {route("one.example", "/", "a"), route("one.example", "/x/", "b"),
                   route("two.example", "/x/", "a")};
  result.tenants = {relay::Tenant{.name = "t", .keys = {"k1", "k2"}},
                    relay::Tenant{.name = "u", .keys = {"k3"}}};
  return result;
}

} // namespace

TEST_CASE("A valid configuration has no error") {
  CHECK_FALSE(relay::findConfigurationError(valid()));
}

TEST_CASE("Each error of a configuration is found and names its entry") {
  relay::Configuration result = valid();
  SUBCASE("a service that is not declared") { result.routes[1].targets[0].service = "none"; }
  SUBCASE("two routes with the same host and prefix") { result.routes[1].path_prefix = "/"; }
  SUBCASE("weights that add up to 0") { result.routes[1].targets[0].weight = 0; }
  SUBCASE("no target") { result.routes[1].targets.clear(); }
  SUBCASE("no timeout") { result.routes[1].timeout_ms = 0; }
  SUBCASE("a prefix without its slash") { result.routes[1].path_prefix = "/x"; }
  const auto error = relay::findConfigurationError(result);
  REQUIRE(error);
  CHECK(error->message.find("route \"one.example/x/\"") != std::string::npos);
}

TEST_CASE("Two tenants that share a key are an error, whose message does not contain the key") {
  relay::Configuration result = valid();
  result.tenants[1].keys.emplace_back("k1");
  const auto error = relay::findConfigurationError(result);
  REQUIRE(error);
  CHECK(error->message.find("tenant \"u\"") != std::string::npos);
  CHECK(error->message.find("k1") == std::string::npos);
}

TEST_CASE("The route with the longest prefix of the host is selected") {
  const relay::RouteTable table(valid());
  CHECK(table.findRoute("one.example", "/y")->path_prefix == "/");
  CHECK(table.findRoute("ONE.example:8080", "/x/1")->path_prefix == "/x/");
  CHECK(table.findRoute("one.example", "/x")->path_prefix == "/");
  CHECK(table.findRoute("two.example", "/y") == nullptr);
  CHECK(table.findRoute("three.example", "/x/") == nullptr);
}

TEST_CASE("A key identifies its tenant") {
  const relay::RouteTable table(valid());
  CHECK(table.findTenant("k2")->name == "t");
  CHECK(table.findTenant("k9") == nullptr);
  CHECK(table.findTenant("") == nullptr);
}

TEST_CASE("Requests are split by weight, and equal draws select the same service") {
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

TEST_CASE("The group keeps the highest version and never changes the content of a version") {
  relay::GroupState state;
  const auto store = [&](uint64_t version, const std::string& document) {
    v1::GroupCommand command;
    command.mutable_store()->set_version(version);
    command.mutable_store()->set_compressed_document(document);
    return state.apply(command.SerializeAsString(), version) ==
           relay::GroupState::Change::Configuration;
  };
  CHECK(store(5, "five"));
  CHECK_FALSE(store(5, "other"));
  CHECK_FALSE(store(4, "four"));
  CHECK(state.apply("no command", 6) == relay::GroupState::Change::None);
  CHECK(state.configuration().compressed_document() == "five");
  relay::GroupState restored;
  CHECK(restored.restore(state.save()));
  CHECK(restored.configuration().version() == 5);
}

} // namespace workshatch::test

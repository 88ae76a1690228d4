/// @file
/// Tests of the settings of relays and group replicas: values, defaults, and errors by field.
#include <algorithm>

#include <doctest/doctest.h>

#include "adapters/settings/relay_settings.h"

namespace workshatch::test {

namespace {

constexpr const char* kSettings = R"({"name":"n1","zone":"z","ip":"10.0.0.1",
 "caller_address":"10.0.0.1:80","ready_address":"","link_port":7000,
 "seeds":["10.0.0.1:90","10.0.0.2:90"],"first_start":true,"data_folder":"",
 "runner_list_address":"10.9.0.1:81","unknown":1,"memory_mb":160,"zones":{"z":"here","y":"there"},
 "bounds":{"revoked_key_ms":4000,"stop_s":7.5,"repeat_slack":58,"cold_factor":2,
  "cold_slack":7},
 "policy":{"waiting_line":true,"tenant_shares":false}})";

} // namespace

TEST_CASE("Settings are read, with defaults for missing fields") {
  const auto read = settings::parseRelaySettings(kSettings);
  const auto* settings = std::get_if<settings::RelaySettings>(&read);
  REQUIRE(settings != nullptr);
  CHECK(settings->name == "n1");
  CHECK(settings->first_start);
  CHECK(settings->seedLinkAddresses() ==
        std::vector<std::string>{"10.0.0.1:7000", "10.0.0.2:7000"});
  CHECK(settings->bounds.revoked_key_ms == 4000);
  CHECK(settings->zones.regionOf("z") == "here");
  CHECK(settings->zones.regionOf("y") == "there");
  CHECK(settings->zones.regionOf("x").empty());
  CHECK(settings->bounds.cold_factor == 2);
  CHECK(settings->bounds.cold_slack == 7);
  CHECK(settings->bounds.stop_ms == 7500);
  CHECK(settings->bounds.repeat_slack == 58);
  CHECK(settings->bounds.repeat_window_ms == 10'000);
  CHECK(settings->memory_bytes == size_t{160} * 1024 * 1024);
  CHECK(settings->policy.waiting_line);
  CHECK_FALSE(settings->policy.tenant_shares);
  CHECK(settings->policy.place_limits);
}

TEST_CASE("All errors in a settings file are reported, by field") {
  const auto read = settings::parseRelaySettings(
      R"({"name":"","zone":"z","ip":"x","caller_address":"no","link_port":70000,"memory_mb":8,"seeds":["a"],
          "first_start":1,"runner_list_address":"1.2.3.4:5","bounds":{"repeat_ratio":2},
          "policy":{"place_limits":0,"palce_limits":true}})");
  const auto* errors = std::get_if<settings::SettingsErrors>(&read);
  REQUIRE(errors != nullptr);
  const auto named = [&](const std::string& field) {
    return std::any_of(errors->begin(), errors->end(),
                       [&](const std::string& error) { return error.starts_with(field + ":"); });
  };
  for (const char* field :
       {"name", "caller_address", "link_port", "memory_mb", "seeds", "first_start",
        "bounds.repeat_ratio", "policy.place_limits", "policy.palce_limits"}) {
    CAPTURE(field);
    CHECK(named(field));
  }
  CHECK(std::holds_alternative<settings::SettingsErrors>(settings::parseRelaySettings("{")));
}

} // namespace workshatch::test

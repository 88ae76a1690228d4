#include "adapters/settings/relay_settings.h"

#include <algorithm>
#include <fstream>
#include <limits>
#include <map>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

#include "adapters/http/http_types.h"
#include "core/address_text.h"

namespace workshatch::settings {

namespace {

using nlohmann::json;

constexpr double kMaxMs = 3'600'000;
constexpr double kMaxPort = 65'535;
constexpr double kMillisecondsPerSecond = 1000;
/// Below it the part that is not shared does not hold the program itself.
constexpr double kMinMemoryMb = 16;

/// Reads fields of a JSON object and collects errors.
class FieldReader {
public:
  FieldReader(const json& object, std::string path, SettingsErrors& errors)
      : object_(object), path_(std::move(path)), errors_(errors) {}

  void text(const char* name, std::string& value, bool required) {
    const json* field = find(name, required);
    if (field != nullptr && !field->is_string()) {
      addError(name, "must be text");
    } else if (field != nullptr) {
      value = field->get<std::string>();
    }
    if (required && field != nullptr && value.empty()) {
      addError(name, "must not be empty");
    }
  }

  void address(const char* name, std::string& value, bool required) {
    text(name, value, required);
    if (!value.empty() && !http::parseEndpoint(value)) {
      addError(name, "must be \"ip:port\", not \"" + value + "\"");
    }
  }

  void flag(const char* name, bool& value) {
    const json* field = find(name, false);
    if (field != nullptr && !field->is_boolean()) {
      addError(name, "must be true or false");
    } else if (field != nullptr) {
      value = field->get<bool>();
    }
  }

  template <typename Number> void number(const char* name, Number& value, double min, double max) {
    const json* field = find(name, false);
    if (field == nullptr) {
      return;
    }
    if (!field->is_number() || field->get<double>() < min || field->get<double>() > max) {
      std::ostringstream message;
      message << "must be a number from " << min << " to " << max;
      addError(name, message.str());
      return;
    }
    value = static_cast<Number>(field->get<double>());
  }

  void addresses(const char* name, std::vector<std::string>& values) {
    const json* field = find(name, true);
    if (field == nullptr) {
      return;
    }
    if (!field->is_array()) {
      addError(name, "must be a list of \"ip:port\"");
      return;
    }
    for (const json& entry : *field) {
      if (!entry.is_string() || !http::parseEndpoint(entry.get<std::string>())) {
        addError(name, "must be a list of \"ip:port\"");
        return;
      }
      values.push_back(entry.get<std::string>());
    }
  }

  /// Reads an object whose members are strings.
  void textMap(const char* name, std::map<std::string, std::string>& values) {
    const json* field = find(name, false);
    if (field == nullptr) {
      return;
    }
    const bool texts_only =
        field->is_object() && std::all_of(field->begin(), field->end(),
                                          [](const json& entry) { return entry.is_string(); });
    if (!texts_only) {
      addError(name, "must be an object of texts");
      return;
    }
    values = field->get<std::map<std::string, std::string>>();
  }

  const json* find(const char* name, bool required) {
    const auto found = object_.find(name);
    if (found != object_.end() && !found->is_null()) {
      return &*found;
    }
    if (required) {
      addError(name, "is missing");
    }
    return nullptr;
  }

  /// Adds an error for each field of the object that is not in `known`.
  void rejectUnknownFields(const std::vector<std::string>& known) {
    for (const auto& [name, value] : object_.items()) {
      if (std::find(known.begin(), known.end(), name) == known.end()) {
        addError(name.c_str(), "is not known");
      }
    }
  }

  void addError(const char* name, const std::string& message) {
    errors_.push_back(path_ + name + ": " + message);
  }

private:
  const json& object_;
  const std::string path_;
  SettingsErrors& errors_;
};

void readBounds(FieldReader reader, RelayBounds& bounds) {
  reader.number("revoked_key_ms", bounds.revoked_key_ms, 1, kMaxMs);
  reader.number("leaving_runner_ms", bounds.leaving_runner_ms, 1, kMaxMs);
  double stop_s = static_cast<double>(bounds.stop_ms) / kMillisecondsPerSecond;
  reader.number("stop_s", stop_s, 0.1, kMaxMs);
  bounds.stop_ms = static_cast<int64_t>(stop_s * kMillisecondsPerSecond);
  reader.number("repeat_ratio", bounds.repeat_ratio, 0, 1);
  double window_s = static_cast<double>(bounds.repeat_window_ms) / kMillisecondsPerSecond;
  reader.number("repeat_window_s", window_s, 0.1, kMaxMs);
  bounds.repeat_window_ms = static_cast<int64_t>(window_s * kMillisecondsPerSecond);
  reader.number("repeat_slack", bounds.repeat_slack, 0, std::numeric_limits<uint32_t>::max());
  reader.number("load_cap_factor", bounds.load_cap_factor, 1, 1000);
  reader.number("cold_factor", bounds.cold_factor, 1, 1000);
  reader.number("cold_slack", bounds.cold_slack, 0, std::numeric_limits<uint32_t>::max());
  reader.number("trial_share", bounds.trial_share, 0, 1);
  reader.number("endpoints_ttl_s", bounds.endpoints_ttl_s, 1, 3600);
  reader.number("degraded_endpoints_ttl_s", bounds.degraded_endpoints_ttl_s, 1, 3600);
}

struct PolicyFlag {
  const char* name;
  bool relay::Policy::*flag;
};

constexpr PolicyFlag kPolicyFlags[] = {
    {"prompt_homes", &relay::Policy::prompt_homes},
    {"fetch_cached_parts", &relay::Policy::fetch_cached_parts},
    {"part_directory", &relay::Policy::part_directory},
    {"quarantine", &relay::Policy::quarantine},
    {"peer_forwarding", &relay::Policy::peer_forwarding},
    {"stream_versions", &relay::Policy::stream_versions},
    {"shared_loads", &relay::Policy::shared_loads},
    {"shared_suspicions", &relay::Policy::shared_suspicions},
    {"hold_downs", &relay::Policy::hold_downs},
    {"silence_limits", &relay::Policy::silence_limits},
    {"own_zone_first", &relay::Policy::own_zone_first},
    {"place_limits", &relay::Policy::place_limits},
    {"shared_places", &relay::Policy::shared_places},
    {"few_homes", &relay::Policy::few_homes},
    {"place_owners", &relay::Policy::place_owners},
    {"engine_load", &relay::Policy::engine_load},
    {"service_times", &relay::Policy::service_times},
    {"cold_pace", &relay::Policy::cold_pace},
    {"waiting_line", &relay::Policy::waiting_line},
    {"paced_returns", &relay::Policy::paced_returns},
    {"request_demand", &relay::Policy::request_demand},
    {"priority_shares", &relay::Policy::priority_shares},
    {"tenant_shares", &relay::Policy::tenant_shares},
    {"address_lifetimes", &relay::Policy::address_lifetimes},
    {"first_lease_wait", &relay::Policy::first_lease_wait},
    {"repeats", &relay::Policy::repeats},
};

/// Rejects unknown names, since a misspelled mechanism would otherwise silently keep its default.
void readPolicy(FieldReader reader, relay::Policy& policy) {
  std::vector<std::string> known;
  for (const PolicyFlag& entry : kPolicyFlags) {
    known.emplace_back(entry.name);
    reader.flag(entry.name, policy.*entry.flag);
  }
  reader.rejectUnknownFields(known);
}

} // namespace

std::vector<std::string> RelaySettings::seedLinkAddresses() const {
  std::vector<std::string> links;
  for (const std::string& seed : seeds) {
    links.push_back(withPort(seed, link_port));
  }
  return links;
}

std::variant<RelaySettings, SettingsErrors> parseRelaySettings(const std::string& text) {
  SettingsErrors errors;
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    errors.emplace_back("the settings are not a JSON object");
    return errors;
  }
  RelaySettings settings;
  FieldReader reader(document, "", errors);
  reader.text("name", settings.name, true);
  reader.text("zone", settings.zone, true);
  std::map<std::string, std::string> zones;
  reader.textMap("zones", zones);
  settings.zones = relay::ZoneRegions(std::move(zones));
  reader.text("ip", settings.ip, true);
  reader.address("caller_address", settings.caller_address, false);
  reader.address("ready_address", settings.ready_address, false);
  reader.address("resolve_address", settings.resolve_address, false);
  reader.address("operator_address", settings.operator_address, false);
  reader.address("metrics_address", settings.metrics_address, false);
  reader.number("link_port", settings.link_port, 1, kMaxPort);
  if (settings.link_port == 0) {
    reader.addError("link_port", "is missing");
  }
  settings.forward_port = static_cast<uint16_t>(settings.link_port + 1);
  reader.number("forward_port", settings.forward_port, 1, kMaxPort);
  if (settings.forward_port == settings.link_port) {
    reader.addError("forward_port", "must differ from link_port");
  }
  reader.addresses("seeds", settings.seeds);
  reader.flag("first_start", settings.first_start);
  reader.text("data_folder", settings.data_folder, false);
  reader.address("runner_list_address", settings.runner_list_address, true);
  reader.textMap("runner_address_overrides", settings.runner_address_overrides);
  reader.number("runner_list_calls", settings.runner_list_calls, 0.1, 1e6);
  reader.number("link_mbps", settings.link_mbps, 0.1, 1e6);
  constexpr double kBytesPerMegabyte = 1024 * 1024;
  double memory_mb = 0;
  reader.number("memory_mb", memory_mb, kMinMemoryMb, 1e6);
  settings.memory_bytes = static_cast<uint64_t>(memory_mb * kBytesPerMegabyte);
  double read_ahead_mb = static_cast<double>(settings.read_ahead_bytes) / kBytesPerMegabyte;
  reader.number("read_ahead_mb", read_ahead_mb, 0.1, 1e6);
  settings.read_ahead_bytes = static_cast<size_t>(read_ahead_mb * kBytesPerMegabyte);
  reader.number("replica_losses", settings.replica_losses, 0, 100);
  const json* bounds = reader.find("bounds", false);
  if (bounds != nullptr && bounds->is_object()) {
    readBounds(FieldReader(*bounds, "bounds.", errors), settings.bounds);
  } else if (bounds != nullptr) {
    reader.addError("bounds", "must be an object");
  }
  const json* policy = reader.find("policy", false);
  if (policy != nullptr && policy->is_object()) {
    readPolicy(FieldReader(*policy, "policy.", errors), settings.policy);
  } else if (policy != nullptr) {
    reader.addError("policy", "must be an object");
  }
  if (!errors.empty()) {
    return errors;
  }
  return settings;
}

std::variant<RelaySettings, SettingsErrors> loadRelaySettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return SettingsErrors{path + ": cannot be read"};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return parseRelaySettings(text.str());
}

} // namespace workshatch::settings

/// @file
/// Settings of a relay or a group replica, read from one JSON file.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/relay/home_regions.h"
#include "core/relay/policy.h"

namespace workshatch::settings {

/// Bounds that the fleet keeps; the operators of the platform set them.
struct RelayBounds {
  int64_t revoked_key_ms = 5000;
  int64_t leaving_runner_ms = 3000;
  int64_t stop_ms = 8000;
  double repeat_ratio = 0.2;
  int64_t repeat_window_ms = 10'000;
  double repeat_slack = 64;
  double load_cap_factor = 2;
  /// Requests that reach a cold runner in any second, at most: this multiple of what its service
  /// says that it bears, plus the slack.
  double cold_factor = 1.5;
  double cold_slack = 5;
  /// Part of a service's requests that a version may get before it is judged.
  double trial_share = 0.1;
  uint32_t endpoints_ttl_s = 2;
  /// The same while some relays are silent.
  uint32_t degraded_endpoints_ttl_s = 5;
};

/// Addresses are "ip:port"; those of calls that the process does not serve are empty.
struct RelaySettings {
  std::string name;
  std::string zone;
  /// All zones, with their regions. Empty: not told.
  relay::ZoneRegions zones;
  std::string ip;
  std::string caller_address;
  std::string ready_address;
  std::string resolve_address;
  std::string operator_address;
  std::string metrics_address;
  /// First of the ports for frames between own processes, alike on all machines.
  uint16_t link_port = 0;
  /// Operator addresses of some group replicas.
  std::vector<std::string> seeds;
  bool first_start = false;
  std::string data_folder;
  std::string runner_list_address;
  /// Calls to the list that all processes together may make in a second.
  double runner_list_calls = 10;
  /// Bandwidth of the machine's link in Mbit/s.
  double link_mbps = 100;
  /// Losses of replicas that the group bears at once.
  uint32_t replica_losses = 1;
  /// Bytes of answers held for callers that read slowly.
  size_t read_ahead_bytes = size_t{16} * 1024 * 1024;
  RelayBounds bounds;
  relay::Policy policy;

  /// Addresses for frames of the replicas that `seeds` names.
  std::vector<std::string> seedLinkAddresses() const;
};

/// What is wrong with a settings file: one line a field.
using SettingsErrors = std::vector<std::string>;

/// Reads and checks a settings file; names all faults at once. Unknown fields are ignored.
std::variant<RelaySettings, SettingsErrors> loadRelaySettings(const std::string& path);

/// As `loadRelaySettings`, from text.
std::variant<RelaySettings, SettingsErrors> parseRelaySettings(const std::string& text);

} // namespace workshatch::settings

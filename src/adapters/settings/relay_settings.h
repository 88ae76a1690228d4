/// @file
/// Settings of a relay or a group replica, read from a JSON file.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/relay/home_regions.h"
#include "core/relay/policy.h"

namespace workshatch::settings {

/// Limits that the fleet guarantees, set by the operators of the platform. They are the members of
/// "bounds" in the settings file, which gives the durations in milliseconds or seconds.
struct RelayBounds {
  /// Time after which no relay accepts a revoked key any more.
  int64_t revoked_key_ms = 5000;
  /// Time within which all processes must know of a leaving runner.
  int64_t leaving_runner_ms = 3000;
  /// Limit on the duration of a planned stop.
  int64_t stop_ms = 8000;
  /// Retry budget: retries allowed for each first attempt in any window.
  double repeat_ratio = 0.2;
  int64_t repeat_window_ms = 10'000;
  /// Retries allowed beyond the ratio in each window, over all relays.
  double repeat_slack = 64;
  /// The limit on the load of a runner is this multiple of the mean load of its service, plus a
  /// small slack.
  double load_cap_factor = 2;
  /// Limit on the requests that reach a cold runner in any second: this multiple of the rate that
  /// the configuration of its service states as sustainable, plus the slack.
  double cold_factor = 1.5;
  double cold_slack = 5;
  /// Fraction of the requests of a service that a new version may receive before it is evaluated.
  double trial_share = 0.1;
  uint32_t endpoints_ttl_s = 2;
  /// Replaces `endpoints_ttl_s` while some relays are unresponsive.
  uint32_t degraded_endpoints_ttl_s = 5;
};

/// Addresses have the form "ip:port". The address of an interface that the process does not serve
/// is empty.
struct RelaySettings {
  std::string name;
  std::string zone;
  /// All zones and their regions; empty if not configured.
  relay::ZoneRegions zones;
  std::string ip;
  std::string caller_address;
  std::string ready_address;
  std::string resolve_address;
  std::string operator_address;
  std::string metrics_address;
  /// First of the ports for frames between processes of the fleet; the same on all machines.
  uint16_t link_port = 0;
  /// Port at which relays take the requests that other relays forward; the same on all machines.
  uint16_t forward_port = 0;
  /// Operator addresses of some group replicas.
  std::vector<std::string> seeds;
  /// Whether the whole system starts for the first time, with empty disks.
  bool first_start = false;
  std::string data_folder;
  std::string runner_list_address;
  /// Addresses at which this machine reaches runners, by their address in the list, for those that
  /// it reaches at another one (port forwarding).
  std::map<std::string, std::string> runner_address_overrides;
  /// Limit on the calls per second to the runner list by all processes together.
  double runner_list_calls = 10;
  /// Network bandwidth of the machine in Mbit/s.
  double link_mbps = 100;
  /// Number of simultaneous replica failures that the group tolerates.
  uint32_t replica_losses = 1;
  /// Limit on the buffered response bytes for slowly reading callers, in total.
  size_t read_ahead_bytes = size_t{16} * 1024 * 1024;
  RelayBounds bounds;
  relay::Policy policy;

  /// @return the address for frames of a replica on this machine.
  std::string linkAddress() const { return ip + ":" + std::to_string(link_port); }
  /// @return the addresses for frames of the replicas in `seeds`.
  std::vector<std::string> seedLinkAddresses() const;
};

/// Errors in a settings file, each one line that begins with the name of the field.
using SettingsErrors = std::vector<std::string>;

/// Reads and validates a settings file and returns all its errors. Unknown fields are ignored,
/// except in "policy".
std::variant<RelaySettings, SettingsErrors> loadRelaySettings(const std::string& path);

/// Like `loadRelaySettings`, from the text of the file.
std::variant<RelaySettings, SettingsErrors> parseRelaySettings(const std::string& text);

} // namespace workshatch::settings

/// @file
/// The back ends as one router knows them: the platform's list, failures seen, operators' drains.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/backoff.h"
#include "workshatch/v1/configuration.pb.h"

namespace workshatch::routing {

/// One line of the platform's list.
struct ListedRunner {
  std::string runner;
  std::string address;
  std::string service;
  std::string zone;
  uint32_t engines = 1;
  bool leaving = false;
};

/// One engine of a runner.
struct EngineInfo {
  /// "runner/number".
  std::string engine;
  std::string runner;
  std::string address;
  std::string service;
  std::string zone;
  uint32_t number = 0;
  bool leaving = false;
  /// Kept out of use after failures, for a time that doubles.
  bool held_down = false;
  /// Its runner asked for no requests for a time.
  bool backing_off = false;

  /// @return whether it may get new requests.
  bool isUsable() const { return !leaving && !held_down && !backing_off; }
};

struct HoldDownOptions {
  int64_t initial_ms = 500;
  int64_t max_ms = 30'000;
  /// A runner without failures for this long starts again with the first hold-down.
  int64_t reset_after_ms = 60'000;
};

/// Times are milliseconds of a monotonic clock. Not safe for concurrent use.
class FleetTable {
public:
  explicit FleetTable(HoldDownOptions options) : options_(options) {}

  void setListed(std::vector<ListedRunner> listed) { listed_ = std::move(listed); }
  void configure(const v1::Configuration& configuration);

  /// A runner could not be reached or broke off.
  void recordFailure(const std::string& runner, int64_t now_ms);
  void recordSuccess(const std::string& runner, int64_t now_ms);
  /// A runner asked for no requests for a time.
  void recordBackoffRequest(const std::string& runner, uint32_t asked_ms, int64_t now_ms);
  /// A runner's own word that it is leaving, or is not any more.
  void setReportedLeaving(const std::string& runner, bool leaving);

  /// All engines of a service, leaving and held down ones included.
  std::vector<EngineInfo> engines(const std::string& service, int64_t now_ms) const;
  std::vector<EngineInfo> allEngines(int64_t now_ms) const;
  std::optional<EngineInfo> find(const std::string& engine, int64_t now_ms) const;

private:
  struct Health {
    int64_t failed_ms = 0;
    int64_t hold_down_ms = 0;
    bool hold_down_active = false;
    bool reported_leaving = false;
    Backoff backoff;
  };

  void appendEngines(const ListedRunner& listed, int64_t now_ms,
                     std::vector<EngineInfo>& result) const;
  bool isHeldDown(const std::string& runner, int64_t now_ms) const;
  bool isBackingOff(const std::string& runner, int64_t now_ms) const;
  bool isLeaving(const ListedRunner& listed) const;

  const HoldDownOptions options_;
  std::vector<ListedRunner> listed_;
  std::map<std::string, Health> health_;
  std::map<std::string, bool> draining_;
};

} // namespace workshatch::routing

/// @file
/// Engines known to one router: the platform's list, observed failures, and operators' drain
/// requests.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/backoff.h"
#include "workshatch/v1/configuration.pb.h"

namespace workshatch::routing {

/// One entry of the platform's list of runners.
struct ListedRunner {
  std::string runner;
  std::string address;
  std::string service;
  std::string zone;
  uint32_t engines = 1;
  bool leaving = false;
};

/// One engine of a runner and its current state.
struct EngineInfo {
  /// Name of the engine, "runner/number".
  std::string engine;
  std::string runner;
  std::string address;
  std::string service;
  std::string zone;
  uint32_t number = 0;
  bool leaving = false;
  /// Not used for a time after failures; the time doubles with repeated failures.
  bool held_down = false;
  /// The runner asked to receive no requests for a time.
  bool backing_off = false;

  /// @return whether the engine may receive new requests.
  bool isUsable() const { return !leaving && !held_down && !backing_off; }
};

/// Times for which a runner is not used after failures. They double from `initial_ms` to
/// `max_ms`.
struct HoldDownOptions {
  int64_t initial_ms = 500;
  int64_t max_ms = 30'000;
  /// Time without failures after which a runner starts again with the first hold-down.
  int64_t reset_after_ms = 60'000;
};

/// Availability of the engines as seen by one router. Times are milliseconds of a monotonic clock.
/// Not safe for concurrent use.
class FleetTable {
public:
  explicit FleetTable(HoldDownOptions options) : options_(options) {}

  /// Replaces the platform's list.
  void setListed(std::vector<ListedRunner> listed) { listed_ = std::move(listed); }
  /// Applies the operators' drain requests of a configuration.
  void configure(const v1::Configuration& configuration);

  /// Records that a runner could not be reached or broke off a response.
  void recordFailure(const std::string& runner, int64_t now_ms);
  /// Records a successful response. It clears failures that are older than `reset_after_ms`.
  void recordSuccess(const std::string& runner, int64_t now_ms);
  /// Records that a runner asked to receive no requests for `asked_ms`.
  void recordBackoffRequest(const std::string& runner, uint32_t asked_ms, int64_t now_ms);
  /// Records whether a runner reports itself as leaving.
  void setReportedLeaving(const std::string& runner, bool leaving);

  /// All engines of a service, including those that are leaving or held down.
  std::vector<EngineInfo> engines(const std::string& service, int64_t now_ms) const;
  std::vector<EngineInfo> allEngines(int64_t now_ms) const;
  /// @return the engine with this name, if it is listed.
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

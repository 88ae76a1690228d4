#include "core/routing/fleet_table.h"

#include <algorithm>

namespace workshatch::routing {

void FleetTable::configure(const v1::Configuration& configuration) {
  draining_.clear();
  for (const v1::RunnerDeclaration& runner : configuration.runners()) {
    draining_[runner.runner()] = runner.draining();
  }
}

void FleetTable::recordFailure(const std::string& runner, int64_t now_ms) {
  Health& health = health_[runner];
  if (health.hold_down_active && now_ms - health.failed_ms < health.hold_down_ms) {
    return;
  }
  const bool recent =
      health.hold_down_active && now_ms - health.failed_ms < options_.reset_after_ms;
  health.hold_down_ms =
      recent ? std::min(health.hold_down_ms * 2, options_.max_ms) : options_.initial_ms;
  health.failed_ms = now_ms;
  health.hold_down_active = true;
}

void FleetTable::recordSuccess(const std::string& runner, int64_t now_ms) {
  const auto found = health_.find(runner);
  if (found != health_.end() && now_ms - found->second.failed_ms > options_.reset_after_ms) {
    found->second.hold_down_active = false;
  }
}

void FleetTable::recordBackoffRequest(const std::string& runner, uint32_t asked_ms,
                                      int64_t now_ms) {
  health_[runner].backoff.extend(asked_ms, now_ms);
}

void FleetTable::setReportedLeaving(const std::string& runner, bool leaving) {
  const auto found = health_.find(runner);
  if (leaving || found != health_.end()) {
    health_[runner].reported_leaving = leaving;
  }
}

bool FleetTable::isHeldDown(const std::string& runner, int64_t now_ms) const {
  const auto found = health_.find(runner);
  return found != health_.end() && found->second.hold_down_active &&
         now_ms - found->second.failed_ms < found->second.hold_down_ms;
}

bool FleetTable::isBackingOff(const std::string& runner, int64_t now_ms) const {
  const auto found = health_.find(runner);
  return found != health_.end() && found->second.backoff.isActive(now_ms);
}

bool FleetTable::isLeaving(const ListedRunner& listed) const {
  const auto drained = draining_.find(listed.runner);
  const auto health = health_.find(listed.runner);
  return listed.leaving || (drained != draining_.end() && drained->second) ||
         (health != health_.end() && health->second.reported_leaving);
}

void FleetTable::appendEngines(const ListedRunner& listed, int64_t now_ms,
                               std::vector<EngineInfo>& result) const {
  for (uint32_t number = 0; number < listed.engines; ++number) {
    EngineInfo info;
    info.engine = listed.runner + "/" + std::to_string(number);
    info.runner = listed.runner;
    info.address = listed.address;
    info.service = listed.service;
    info.zone = listed.zone;
    info.number = number;
    info.leaving = isLeaving(listed);
    info.held_down = isHeldDown(listed.runner, now_ms);
    info.backing_off = isBackingOff(listed.runner, now_ms);
    result.push_back(std::move(info));
  }
}

std::vector<EngineInfo> FleetTable::engines(const std::string& service, int64_t now_ms) const {
  std::vector<EngineInfo> result;
  for (const ListedRunner& listed : listed_) {
    if (listed.service == service) {
      appendEngines(listed, now_ms, result);
    }
  }
  return result;
}

std::vector<EngineInfo> FleetTable::allEngines(int64_t now_ms) const {
  std::vector<EngineInfo> result;
  for (const ListedRunner& listed : listed_) {
    appendEngines(listed, now_ms, result);
  }
  return result;
}

std::optional<EngineInfo> FleetTable::find(const std::string& engine, int64_t now_ms) const {
  const std::string runner = engine.substr(0, engine.rfind('/'));
  for (const ListedRunner& listed : listed_) {
    if (listed.runner != runner) {
      continue;
    }
    std::vector<EngineInfo> infos;
    appendEngines(listed, now_ms, infos);
    for (EngineInfo& info : infos) {
      if (info.engine == engine) {
        return std::move(info);
      }
    }
  }
  return std::nullopt;
}

} // namespace workshatch::routing

#include "core/routing/fleet_table.h"

#include <algorithm>

namespace workshatch::routing {

void FleetTable::configure(const v1::Configuration& configuration) {
  draining_.clear();
  for (const v1::RunnerDeclaration& runner : configuration.runners()) {
    draining_[runner.runner()] = runner.draining();
  }
}

void FleetTable::failed(const std::string& runner, int64_t now_ms) {
  Health& health = health_[runner];
  if (health.held && now_ms - health.failed_ms < health.hold_down_ms) {
    return;
  }
  const bool recent = health.held && now_ms - health.failed_ms < options_.forget_ms;
  health.hold_down_ms =
      recent ? std::min(health.hold_down_ms * 2, options_.longest_ms) : options_.first_ms;
  health.failed_ms = now_ms;
  health.held = true;
}

void FleetTable::succeeded(const std::string& runner, int64_t now_ms) {
  const auto found = health_.find(runner);
  if (found != health_.end() && now_ms - found->second.failed_ms > options_.forget_ms) {
    found->second.held = false;
  }
}

void FleetTable::askedForBackoff(const std::string& runner, uint32_t asked_ms, int64_t now_ms) {
  health_[runner].backoff.note(asked_ms, now_ms);
}

void FleetTable::saidLeaving(const std::string& runner, bool leaving) {
  const auto found = health_.find(runner);
  if (leaving || found != health_.end()) {
    health_[runner].said_leaving = leaving;
  }
}

bool FleetTable::heldDown(const std::string& runner, int64_t now_ms) const {
  const auto found = health_.find(runner);
  return found != health_.end() && found->second.held &&
         now_ms - found->second.failed_ms < found->second.hold_down_ms;
}

bool FleetTable::backingOff(const std::string& runner, int64_t now_ms) const {
  const auto found = health_.find(runner);
  return found != health_.end() && found->second.backoff.holds(now_ms);
}

bool FleetTable::leaving(const ListedRunner& listed) const {
  const auto drained = draining_.find(listed.runner);
  const auto health = health_.find(listed.runner);
  return listed.leaving || (drained != draining_.end() && drained->second) ||
         (health != health_.end() && health->second.said_leaving);
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
    info.leaving = leaving(listed);
    info.held_down = heldDown(listed.runner, now_ms);
    info.backing_off = backingOff(listed.runner, now_ms);
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

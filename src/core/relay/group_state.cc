#include "core/relay/group_state.h"

#include <algorithm>
#include <utility>

#include "core/relay/request_identity.h"
#include "core/relay/served_versions.h"

namespace workshatch::relay {

GroupState::Change GroupState::apply(const std::string& command, uint64_t index) {
  v1::GroupCommand parsed;
  if (!parsed.ParseFromString(command)) {
    return Change::None;
  }
  switch (parsed.command_case()) {
  case v1::GroupCommand::kStore:
    return storeConfiguration(*parsed.mutable_store());
  case v1::GroupCommand::kEvacuation:
    return applyEvacuation(parsed.evacuation(), index);
  case v1::GroupCommand::kQuarantine:
    return applyQuarantine(*parsed.mutable_quarantine(), index);
  case v1::GroupCommand::kRollout:
    return beginRollout(*parsed.mutable_rollout(), index);
  case v1::GroupCommand::kRolloutVerdict:
    return judgeRollout(parsed.rollout_verdict(), index);
  case v1::GroupCommand::kVersionOrders:
    return applyVersionOrders(parsed.version_orders(), index);
  case v1::GroupCommand::COMMAND_NOT_SET:
    break;
  }
  return Change::None;
}

GroupState::Change GroupState::storeConfiguration(v1::StoredConfiguration& configuration) {
  if (configuration.version() <= state_.configuration().version()) {
    return Change::None;
  }
  *state_.mutable_configuration() = std::move(configuration);
  return Change::Configuration;
}

GroupState::Change GroupState::applyEvacuation(const v1::EvacuationOrder& order, uint64_t index) {
  auto* zones = state_.mutable_evacuations()->mutable_zones();
  const auto found = std::lower_bound(
      zones->begin(), zones->end(), order.zone(),
      [](const v1::EvacuatedZone& entry, const std::string& zone) { return entry.zone() < zone; });
  const bool evacuated = found != zones->end() && found->zone() == order.zone();
  if (evacuated == order.begin()) {
    return Change::None;
  }
  if (evacuated) {
    zones->erase(found);
  } else {
    const auto position = found - zones->begin();
    v1::EvacuatedZone* added = zones->Add();
    added->set_zone(order.zone());
    added->set_since_ms(order.ordered_ms());
    std::rotate(zones->begin() + position, zones->end() - 1, zones->end());
  }
  state_.mutable_evacuations()->set_version(index);
  return Change::Evacuations;
}

GroupState::Change GroupState::applyQuarantine(v1::QuarantineOrder& order, uint64_t index) {
  auto* requests = state_.mutable_quarantine()->mutable_requests();
  const RequestIdentity request = identityOf(order.request().request());
  const auto found =
      std::find_if(requests->begin(), requests->end(), [&](const v1::QuarantinedRequest& entry) {
        return identityOf(entry.request()) == request;
      });
  const bool quarantined = found != requests->end();
  if (quarantined == order.begin()) {
    return Change::None;
  }
  if (quarantined) {
    requests->erase(found);
  } else {
    if (static_cast<size_t>(requests->size()) >= kMaxQuarantined) {
      requests->erase(requests->begin());
    }
    *requests->Add() = std::move(*order.mutable_request());
  }
  state_.mutable_quarantine()->set_version(index);
  return Change::Quarantine;
}

const char* nameOf(v1::RolloutPhase phase) {
  switch (phase) {
  case v1::ROLLOUT_CANARY:
    return "canary";
  case v1::ROLLOUT_PROMOTING:
    return "promoting";
  case v1::ROLLOUT_SUCCEEDED:
    return "succeeded";
  case v1::ROLLOUT_ROLLED_BACK:
    return "rolled_back";
  default:
    return "unknown";
  }
}

bool isInProgress(const v1::Rollout& rollout) {
  return rollout.phase() == v1::ROLLOUT_CANARY || rollout.phase() == v1::ROLLOUT_PROMOTING;
}

const v1::Rollout* findRollout(const v1::RolloutList& rollouts, const std::string& service) {
  const auto& entries = rollouts.rollouts();
  const auto entry = std::find_if(entries.begin(), entries.end(), [&](const v1::Rollout& rollout) {
    return rollout.service() == service;
  });
  return entry == entries.end() ? nullptr : &*entry;
}

/// Ignores the command while another rollout of the service is in progress: two orders may be on
/// their way to a majority at the same time.
GroupState::Change GroupState::beginRollout(v1::Rollout& rollout, uint64_t index) {
  auto* rollouts = state_.mutable_rollouts()->mutable_rollouts();
  auto found = std::lower_bound(rollouts->begin(), rollouts->end(), rollout.service(),
                                [](const v1::Rollout& entry, const std::string& service) {
                                  return entry.service() < service;
                                });
  const bool exists = found != rollouts->end() && found->service() == rollout.service();
  if (exists && isInProgress(*found)) {
    return Change::None;
  }
  rollout.set_phase(v1::ROLLOUT_CANARY);
  rollout.set_id(index);
  if (exists) {
    *found = std::move(rollout);
  } else {
    const auto position = found - rollouts->begin();
    *rollouts->Add() = std::move(rollout);
    std::rotate(rollouts->begin() + position, rollouts->end() - 1, rollouts->end());
  }
  state_.mutable_rollouts()->set_version(index);
  return Change::Rollouts;
}

GroupState::Change GroupState::judgeRollout(const v1::RolloutVerdict& verdict, uint64_t index) {
  for (v1::Rollout& rollout : *state_.mutable_rollouts()->mutable_rollouts()) {
    const bool matches = rollout.service() == verdict.service() && rollout.id() == verdict.id();
    const bool promotes =
        rollout.phase() == v1::ROLLOUT_CANARY && verdict.phase() == v1::ROLLOUT_PROMOTING;
    const bool succeeds =
        rollout.phase() == v1::ROLLOUT_PROMOTING && verdict.phase() == v1::ROLLOUT_SUCCEEDED;
    const bool rolls_back = isInProgress(rollout) && verdict.phase() == v1::ROLLOUT_ROLLED_BACK;
    if (matches && (promotes || succeeds || rolls_back)) {
      rollout.set_phase(verdict.phase());
      state_.mutable_rollouts()->set_version(index);
      return Change::Rollouts;
    }
  }
  return Change::None;
}

GroupState::Change GroupState::applyVersionOrders(const v1::VersionOrders& orders, uint64_t index) {
  if (!relay::applyVersionOrders(*state_.mutable_served_versions(), orders)) {
    return Change::None;
  }
  state_.mutable_served_versions()->set_version(index);
  return Change::ServedVersions;
}

std::vector<std::string> evacuatedZoneNames(const v1::EvacuationList& evacuations) {
  std::vector<std::string> names;
  for (const v1::EvacuatedZone& zone : evacuations.zones()) {
    names.push_back(zone.zone());
  }
  return names;
}

bool GroupState::restore(const std::string& bytes) {
  v1::GroupSnapshot snapshot;
  if (!snapshot.ParseFromString(bytes)) {
    return false;
  }
  const bool empty = !snapshot.has_configuration() && !snapshot.has_evacuations() &&
                     !snapshot.has_quarantine() && !snapshot.has_rollouts() &&
                     !snapshot.has_served_versions();
  if (empty) {
    // Either a snapshot of an earlier program version, which consists of a StoredConfiguration
    // only, or a snapshot of an empty state, which parses as an empty StoredConfiguration.
    if (!snapshot.mutable_configuration()->ParseFromString(bytes)) {
      return false;
    }
  }
  state_ = std::move(snapshot);
  return true;
}

} // namespace workshatch::relay

/// @file
/// The lease protocol of the relay role: builds the renewals for the leader and applies its
/// replies.
#include <algorithm>
#include <utility>

#include "adapters/logging/line_log.h"
#include "core/address_text.h"
#include "core/relay/group_state.h"
#include "core/relay/relay_list_history.h"
#include "core/relay/served_versions.h"
#include "daemon/relay/active_request.h"
#include "daemon/relay/relay_role.h"

namespace workshatch::daemon {

v1::LeaseRenewal RelayRole::makeRenewal(bool first_on_link) {
  v1::LeaseRenewal renewal;
  renewal.set_sequence(state_.lease.renewalSent(clock_.monotonicMs()));
  renewal.set_name(settings_.name);
  renewal.set_incarnation(incarnation_);
  renewal.set_address(settings_.caller_address);
  renewal.set_zone(settings_.zone);
  renewal.set_ready(!state_.stop);
  renewal.set_configuration_version(received_.version());
  renewal.set_runner_list_version(state_.runners.listVersion());
  renewal.set_runner_list_fingerprint(state_.runners.listFingerprint());
  renewal.set_relay_list_version(relays_.version());
  renewal.set_evacuation_version(state_.runners.evacuationVersion());
  renewal.set_quarantine_version(state_.quarantine.version());
  renewal.set_served_version_list_version(state_.runners.servedVersions().version());
  addRollouts(renewal);
  addSilentRelays(renewal);
  for (const std::string& service : path_prober_->lostServices()) {
    renewal.add_lost_services(relay::serviceFingerprint(service));
  }
  std::sort(renewal.mutable_lost_services()->begin(), renewal.mutable_lost_services()->end());
  crash_reporter_->fill(renewal, first_on_link);
  for (const relay::RequestIdentity& request : completed_quarantined_) {
    *renewal.add_ran_whole() = relay::messageOf(request);
  }
  reported_loads_ = state_.runners.ownLoads(clock_.monotonicMs());
  *renewal.mutable_loads() = reported_loads_;
  if (state_.routes) {
    *renewal.mutable_tenants() = state_.tenants.report(state_.routes->configuration());
  }
  ++state_.stats.renewals;
  return renewal;
}

void RelayRole::onLeaseReply(const v1::LeaseReply& reply) {
  last_group_reply_ms_ = clock_.monotonicMs();
  if (reply.has_configuration() && !applyConfiguration(reply.configuration())) {
    // A confirmation is valid only together with the configuration. On the next link the leader
    // sends the whole document.
    received_.reset();
    control_.reconnect();
    return;
  }
  if (reply.has_evacuations()) {
    applyEvacuations(reply.evacuations());
  }
  if (reply.has_quarantine() && settings_.policy.quarantine) {
    applyQuarantine(reply.quarantine());
  }
  if (reply.has_suspected_parts() && settings_.policy.quarantine) {
    crash_reporter_->setSuspects(reply.suspected_parts());
  }
  // Applied before the list of runners, which may add runners of a version that serves from now on.
  if (reply.has_served_versions()) {
    applyServedVersions(reply.served_versions());
  }
  // Applied before the list of runners, which may add runners of the version on trial.
  if (reply.has_rollouts()) {
    applyRollouts(reply.rollouts());
  }
  if (reply.has_runners() && !applyRunners(reply.runners())) {
    control_.reconnect();
    return;
  }
  if (reply.has_relays() && !applyRelays(reply.relays())) {
    control_.reconnect();
    return;
  }
  if (reply.has_loads()) {
    state_.runners.setLoadTotals(reply.loads(), reported_loads_, clock_.monotonicMs());
    if (state_.routes) {
      state_.tenants.setOverShare(reply.over_share(), state_.routes->configuration());
    }
    state_.queue.wakeNextOfEachService();
  }
  if (reply.confirmed()) {
    if (!state_.lease.everConfirmed()) {
      line_log::write("lease_won", {{"sequence", reply.sequence()}});
    }
    state_.lease.confirmed(reply.sequence());
    const int64_t now_ms = clock_.monotonicMs();
    state_.budget.recordConfirmed(now_ms - state_.lease.ageMs(now_ms));
    lease_wait_.wakeAll();
  }
}

void RelayRole::applyServedVersions(const v1::ServedVersionList& list) {
  if (list.version() <= state_.runners.servedVersions().version()) {
    return;
  }
  state_.runners.setServedVersions(list);
  line_log::write("served_versions_in_force",
                  {{"version", list.version()}, {"services", relay::describeServedVersions(list)}});
  state_.queue.wakeNextOfEachService();
}

void RelayRole::applyEvacuations(const v1::EvacuationList& evacuations) {
  if (evacuations.version() <= state_.runners.evacuationVersion()) {
    return;
  }
  state_.runners.setEvacuations(evacuations, clock_.monotonicMs());
  evacuations_ = evacuations;
  nlohmann::json zones = nlohmann::json::array();
  for (const v1::EvacuatedZone& zone : evacuations.zones()) {
    zones.push_back({{"zone", zone.zone()}, {"since_ms", zone.since_ms()}});
  }
  line_log::write("evacuations_in_force",
                  {{"version", evacuations.version()}, {"zones", std::move(zones)}});
  state_.queue.wakeNextOfEachService();
}

void RelayRole::addRollouts(v1::LeaseRenewal& renewal) const {
  const v1::RolloutList& list = state_.runners.rollouts().rollouts();
  renewal.set_rollout_version(list.version());
  for (const v1::Rollout& rollout : list.rollouts()) {
    if (!relay::isInProgress(rollout)) {
      continue;
    }
    v1::RolloutReport& report = *renewal.add_rollouts();
    report.set_rollout(rollout.id());
    report.set_former_in_progress(state_.runners.inProgressAtFormer(rollout));
    state_.rollout_outcomes.fill(report);
  }
}

void RelayRole::applyRollouts(const v1::RolloutList& list) {
  relay::RolloutGate& gate = state_.runners.rollouts();
  if (list.version() <= gate.rollouts().version()) {
    return;
  }
  gate.setRollouts(list, random_.next());
  state_.rollout_outcomes.dropFinished(list);
  nlohmann::json rollouts = nlohmann::json::array();
  for (const v1::Rollout& rollout : list.rollouts()) {
    rollouts.push_back({{"service", rollout.service()},
                        {"target_version", rollout.target_version()},
                        {"phase", relay::nameOf(rollout.phase())},
                        {"since_ms", rollout.ordered_ms()}});
  }
  line_log::write("rollouts_in_force",
                  {{"version", list.version()}, {"rollouts", std::move(rollouts)}});
  state_.queue.wakeNextOfEachService();
}

void RelayRole::applyQuarantine(const v1::QuarantineList& list) {
  if (!state_.quarantine.setList(list)) {
    return;
  }
  completed_quarantined_.clear();
  nlohmann::json requests = nlohmann::json::array();
  for (const auto& [request, since_ms] : state_.quarantine.requests()) {
    requests.push_back({{"identity", relay::textOf(request)}, {"since_ms", since_ms}});
    if (crash_reporter_->completedRecently(request)) {
      completed_quarantined_.push_back(request);
    }
  }
  for (ActiveRequest* active_request : state_.active_requests) {
    active_request->cancelIfQuarantined();
  }
  line_log::write("quarantine_in_force", {{"version", list.version()},
                                          {"requests", std::move(requests)},
                                          {"ran_whole", completed_quarantined_.size()}});
  if (!completed_quarantined_.empty()) {
    control_.renewNow();
  }
}

bool RelayRole::applyRunners(const v1::RunnerListUpdate& update) {
  const auto applied = state_.runners.applyUpdate(update, clock_.monotonicMs());
  if (isError(applied)) {
    line_log::write("runner_list_update_unfit", {{"version", update.version()},
                                                 {"base", update.base_version()},
                                                 {"held", state_.runners.listVersion()},
                                                 {"error", errorOf(applied).message}});
    return false;
  }
  state_.queue.wakeNextOfEachService();
  return true;
}

/// @return false if the update does not apply to the current list.
bool RelayRole::applyRelays(const v1::RelayListUpdate& update) {
  auto list = relay::applyUpdate(relays_, update);
  if (isError(list)) {
    line_log::write("relay_list_update_unfit", {{"version", update.version()},
                                                {"base", update.base_version()},
                                                {"held", relays_.version()},
                                                {"error", errorOf(list).message}});
    relays_.set_version(0);
    return false;
  }
  relays_ = std::move(std::get<v1::RelayList>(list));
  const auto relays = static_cast<size_t>(relays_.relays_size());
  state_.budget.setRelays(relays, clock_.monotonicMs());
  state_.runners.setRelays(relays);
  state_.peer_relays.setList(relays_);
  std::vector<std::string> owners;
  std::vector<relay::RecordHolder> record_holders;
  for (const v1::RelayEntry& relay : relays_.relays()) {
    owners.push_back(withPort(relay.address(), settings_.link_port));
    record_holders.push_back(relay::RecordHolder{.address = owners.back(), .zone = relay.zone()});
  }
  peers_->setRelays(std::move(owners));
  stream_origins_->setRelays(std::move(record_holders));
  return true;
}

void RelayRole::addSilentRelays(v1::LeaseRenewal& renewal) {
  if (silent_peers_.empty()) {
    return;
  }
  for (const v1::RelayEntry& relay : relays_.relays()) {
    if (silent_peers_.contains(withPort(relay.address(), settings_.link_port))) {
      renewal.add_silent_relays(relay.address());
    }
  }
  silent_peers_.clear();
}

bool RelayRole::applyConfiguration(const v1::ConfigurationUpdate& update) {
  const Result<bool> applied = received_.apply(update);
  if (isError(applied)) {
    line_log::write("configuration_update_unfit", {{"version", update.version()},
                                                   {"base", update.base_version()},
                                                   {"held", received_.version()},
                                                   {"error", errorOf(applied).message}});
    return false;
  }
  const bool newer = !state_.routes || received_.version() > state_.routes->version();
  if (!std::get<bool>(applied) || !newer) {
    return true;
  }
  auto decoded = adapters_.configurations.decode(received_.document());
  if (isError(decoded)) {
    line_log::write("configuration_unreadable",
                    {{"version", received_.version()}, {"error", errorOf(decoded).message}});
    return true;
  }
  state_.routes =
      std::make_shared<const relay::RouteTable>(std::move(std::get<relay::Configuration>(decoded)));
  state_.runners.setServices(state_.routes->configuration().services);
  state_.demand_estimates.retain(state_.routes->configuration());
  line_log::write("configuration_in_force",
                  {{"version", received_.version()},
                   {"base", update.base_version()},
                   {"routes", state_.routes->configuration().routes.size()}});
  return true;
}

} // namespace workshatch::daemon

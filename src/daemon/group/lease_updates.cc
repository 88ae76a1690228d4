#include "daemon/group/lease_updates.h"

#include <algorithm>
#include <utility>

namespace workshatch::daemon {

namespace {

/// A new leader sends neither the relay list nor load totals until all relays had time to renew.
constexpr int64_t kSettleMs = 1000;
constexpr int64_t kLoadTotalsBytesPerSecond = 2048;
constexpr int64_t kMaxLoadTotalsIntervalMs = 1000;
constexpr int64_t kMsPerSecond = 1000;

} // namespace

void LeaseUpdates::beginTerm() {
  versions_.begin(replica_.term());
  relay_lists_.clear();
  load_totals_.Clear();
  runners_.begin(versions_, clock_.monotonicMs());
  runner_history_.clear();
  if (runners_.list().version() != 0) {
    runner_history_.add(runners_.list());
  }
}

bool LeaseUpdates::updateRunners(v1::RunnerList list) {
  const relay::ListChange list_change = runners_.updateAsLeader(std::move(list), versions_);
  if (list_change == relay::ListChange::ColdTimesReduced) {
    runner_history_.refreshNewest(runners_.list());
  }
  if (list_change != relay::ListChange::Runners) {
    return false;
  }
  runner_history_.add(runners_.list());
  return true;
}

void LeaseUpdates::updateRunnersWithoutLeader(v1::RunnerList list) {
  runners_.updateWithoutLeader(std::move(list), clock_.monotonicMs());
}

void LeaseUpdates::setRelays(v1::RelayList list) {
  relay_lists_.set(std::move(list), versions_.next());
}

bool LeaseUpdates::lacksConfiguration(const SentVersions& sent) const {
  return replica_.stored().version() > sent.configuration;
}

bool LeaseUpdates::lacksLargeData(const SentVersions& sent) const {
  const uint64_t list_version = runners_.list().version();
  return lacksConfiguration(sent) || (list_version != 0 && list_version != sent.runner_list);
}

void LeaseUpdates::addConfiguration(SentVersions& sent, v1::LeaseReply& reply) {
  if (!lacksConfiguration(sent)) {
    return;
  }
  configurations_.add(replica_.stored());
  const v1::ConfigurationUpdate& update = configurations_.updateFrom(sent.configuration);
  if (update.version() > sent.configuration) {
    *reply.mutable_configuration() = update;
  }
  sent.configuration = replica_.stored().version();
}

bool LeaseUpdates::lacksOrders(const SentVersions& sent) const {
  return sent.evacuations != replica_.evacuations().version() ||
         sent.quarantine != replica_.quarantine().version() ||
         sent.rollouts != replica_.rollouts().version() ||
         sent.suspected_parts != suspected_parts_.version() ||
         sent.served_versions != replica_.servedVersions().version();
}

void LeaseUpdates::addOrders(SentVersions& sent, v1::LeaseReply& reply) const {
  const v1::EvacuationList& evacuations = replica_.evacuations();
  if (evacuations.version() != sent.evacuations) {
    *reply.mutable_evacuations() = evacuations;
    sent.evacuations = evacuations.version();
  }
  const v1::QuarantineList& quarantine = replica_.quarantine();
  if (quarantine.version() != sent.quarantine) {
    *reply.mutable_quarantine() = quarantine;
    sent.quarantine = quarantine.version();
  }
  const v1::RolloutList& rollouts = replica_.rollouts();
  if (rollouts.version() != sent.rollouts) {
    *reply.mutable_rollouts() = rollouts;
    sent.rollouts = rollouts.version();
  }
  if (suspected_parts_.version() != sent.suspected_parts) {
    *reply.mutable_suspected_parts() = suspected_parts_;
    sent.suspected_parts = suspected_parts_.version();
  }
  const v1::ServedVersionList& served_versions = replica_.servedVersions();
  if (served_versions.version() != sent.served_versions) {
    *reply.mutable_served_versions() = served_versions;
    sent.served_versions = served_versions.version();
  }
}

void LeaseUpdates::addMembers(SentVersions& sent, v1::LeaseReply& reply) const {
  std::vector<std::string> members = replica_.memberAddresses();
  if (members == sent.members) {
    return;
  }
  reply.mutable_members()->Assign(members.begin(), members.end());
  sent.members = std::move(members);
}

/// Adds the load totals if they are due. Totals of a large fleet are large and are sent less often,
/// so that they use the same bandwidth on each relay's link as for a small fleet.
void LeaseUpdates::addLoadTotals(SentVersions& sent, v1::LeaseReply& reply) const {
  const int64_t now = clock_.monotonicMs();
  // A new leader only knows the loads of relays that have renewed since it was elected. The
  // resulting mean would be too low, and limits derived from it would refuse free slots.
  const bool settled = replica_.leadingForMs() >= kSettleMs;
  const bool known = settled && load_totals_.list_version() != 0 &&
                     load_totals_.list_version() == runners_.list().version();
  if (!known || now < sent.load_totals_due_ms) {
    return;
  }
  *reply.mutable_loads() = load_totals_;
  *reply.mutable_over_share() = over_share_;
  const auto bytes = static_cast<int64_t>(load_totals_.ByteSizeLong());
  sent.load_totals_due_ms =
      now + std::min(kMaxLoadTotalsIntervalMs, bytes * kMsPerSecond / kLoadTotalsBytesPerSecond);
}

void LeaseUpdates::addRunners(SentVersions& sent, v1::LeaseReply& reply) {
  const v1::RunnerList& list = runners_.list();
  if (list.version() == 0 || list.version() == sent.runner_list) {
    return;
  }
  *reply.mutable_runners() =
      runner_history_.updateFrom(sent.runner_list, sent.runner_list_fingerprint);
  sent.runner_list = list.version();
}

void LeaseUpdates::addAll(SentVersions& sent, v1::LeaseReply& reply) {
  addMembers(sent, reply);
  addConfiguration(sent, reply);
  addOrders(sent, reply);
  addLoadTotals(sent, reply);
  if (!linkReady()) {
    return;
  }
  addRunners(sent, reply);
  const bool settled = replica_.leadingForMs() >= kSettleMs;
  if (settled && relay_lists_.version() != sent.relay_list) {
    *reply.mutable_relays() = relay_lists_.updateFrom(sent.relay_list);
    sent.relay_list = relay_lists_.version();
  }
}

void LeaseUpdates::recordSent(const v1::Frame& frame) {
  const v1::LeaseReply& reply = frame.lease();
  if (reply.has_configuration() || reply.has_runners() || reply.has_relays()) {
    pacer_.spend(frame.ByteSizeLong());
  }
}

} // namespace workshatch::daemon

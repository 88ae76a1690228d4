#include "daemon/group/lease_service.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "adapters/logging/line_log.h"
#include "core/relay/load_totals.h"
#include "core/relay/member_directory.h"
#include "core/relay/renewal_period.h"
#include "core/relay/request_identity.h"
#include "core/scheduling/tenant_shares.h"

namespace workshatch::daemon {

namespace {

/// Minimum interval between two computations of the relay list or the load totals, so that the cost
/// of a renewal at the leader does not depend on the number of relays.
constexpr int64_t kMinRefreshMs = 30;
/// Maximum interval between two computations of the relay list, since callers are referred to a
/// failed relay until it is removed from the list.
constexpr int64_t kMaxRefreshMs = 300;
/// The interval between two computations of load totals is 1 ms per this many relays: 100 ms at 300
/// relays. The totals then lag by the transit time of a renewal plus half a renewal period, instead
/// of one and a half periods.
constexpr int64_t kSummedRelaysPerMs = 3;
/// Minimum interval between the starts of two rounds of heartbeats for renewals. It is shorter than
/// a tick of the group, which sends a round of its own, and long enough that renewals at most about
/// double the number of heartbeats.
constexpr int64_t kRoundIntervalMs = 25;
/// Delay after which a push that was stopped by the bandwidth limit continues: a fifth of the time
/// that the allowed burst takes.
constexpr std::chrono::milliseconds kPushInterval{10};

} // namespace

/// Resets the state of relays if a new term of leadership has begun, in which all relays register
/// again.
void LeaseService::beginTermIfNew() {
  if (updates_.term() == replica_.term()) {
    return;
  }
  updates_.beginTerm();
  setQuarantine();
  part_crash_counts_.beginTerm(clock_.monotonicMs());
  updates_.setSuspectedParts(v1::SuspectedParts());
  relays_.clear();
  relay_monitor_.clear();
  silent_relays_.clear();
  rollout_controller_.beginTerm();
  served_versions_.beginTerm();
  refresh_due_ms_ = 0;
  load_totals_due_ms_ = 0;
}

/// Removes a relay that is not registered any more.
void LeaseService::removeRelay(const std::string& relay) {
  relays_.erase(relay);
  served_versions_.removeRelay(relay);
}

void LeaseService::linkClosed(const std::string& relay, uint64_t incarnation) {
  const auto found = relays_.find(relay);
  const bool same = found != relays_.end() && found->second.renewal.incarnation() == incarnation;
  if (same) {
    // A relay process that has died is removed immediately. One that only lost its link renews on a
    // new link.
    relay_monitor_.remove(relay);
    removeRelay(relay);
  }
}

void LeaseService::handleRenewal(const std::shared_ptr<link::FramedLink>& link,
                                 const v1::LeaseRenewal& renewal) {
  // Recorded even if this replica is not the leader, since a relay sends each crash report once and
  // this replica may become the leader.
  crash_counts_.addReport(renewal, clock_.monotonicMs());
  part_crash_counts_.addReport(renewal, clock_.monotonicMs());
  if (!replica_.isLeader()) {
    replica_.contactsTold({renewal.known_members().begin(), renewal.known_members().end()});
    sendLeaderAddress(link, renewal.sequence());
    if (!replica_.knowsLeader()) {
      addLeaderlessLink(link);
    }
    return;
  }
  beginTermIfNew();
  recordRenewal(link, renewal);
  orderQuarantine();
  pending_renewals_.push_back(
      PendingRenewal{.link = link, .relay = renewal.name(), .sequence = renewal.sequence()});
  scheduleRound();
}

void LeaseService::addLeaderlessLink(const std::shared_ptr<link::FramedLink>& link) {
  std::erase_if(leaderless_links_, [&](const std::weak_ptr<link::FramedLink>& waiting) {
    const auto known = waiting.lock();
    return !known || known == link;
  });
  leaderless_links_.push_back(link);
}

/// Sends a relay the members of the group and the leader's address, if known, without a
/// confirmation.
void LeaseService::sendLeaderAddress(const std::shared_ptr<link::FramedLink>& link,
                                     uint64_t sequence) const {
  v1::Frame frame;
  *frame.mutable_lease() = relay::makeLeaderReply(replica_.makeNotice(), sequence);
  link->send(frame);
}

void LeaseService::leaderKnown() {
  for (const auto& waiting : std::exchange(leaderless_links_, {})) {
    if (const auto link = waiting.lock()) {
      sendLeaderAddress(link, 0);
    }
  }
}

void LeaseService::recordRenewal(const std::shared_ptr<link::FramedLink>& link,
                                 const v1::LeaseRenewal& renewal) {
  Relay& relay = relays_[renewal.name()];
  const bool joined = relay.renewal.incarnation() != renewal.incarnation();
  if (relay.link.lock() != link) {
    relay.link = link;
    relay.sent = SentVersions{.configuration = renewal.configuration_version(),
                              .runner_list = renewal.runner_list_version(),
                              .relay_list = renewal.relay_list_version(),
                              .evacuations = renewal.evacuation_version(),
                              .quarantine = renewal.quarantine_version(),
                              .rollouts = renewal.rollout_version(),
                              .served_versions = renewal.served_version_list_version()};
  }
  relay.sent.runner_list_fingerprint = renewal.runner_list_fingerprint();
  rollout_controller_.addReport(renewal);
  served_versions_.recordRenewal(renewal.name(), renewal.served_version_list_version());
  relay.renewal = renewal;
  // `handleRenewal` has counted the crash reports; the leader knows its members.
  relay.renewal.clear_runner_ends();
  relay.renewal.clear_sound_parts();
  relay.renewal.clear_known_members();
  relay_monitor_.recordRenewal(renewal.name(), clock_.monotonicMs());
  requestEarlyRenewals(renewal);
  silent_relays_.recordRenewal(renewal.name());
  if (joined) {
    line_log::write("relay_joined", {{"relay", renewal.name()}, {"address", renewal.address()}});
  }
  const int64_t now_ms = clock_.monotonicMs();
  if (now_ms >= refresh_due_ms_) {
    refresh_due_ms_ =
        now_ms +
        std::min(kMaxRefreshMs, relay::renewalPeriodForFleetMs(kMinRefreshMs, relays_.size()));
    dropSilentRelays();
    refreshRelayList();
    updates_.setOverShare(tenantsOverShare());
    stepRollouts();
  }
  if (now_ms >= load_totals_due_ms_) {
    load_totals_due_ms_ =
        now_ms + std::max(kMinRefreshMs, static_cast<int64_t>(relays_.size()) / kSummedRelaysPerMs);
    updates_.setLoadTotals(totalLoads());
  }
}

void LeaseService::scheduleRound() {
  if (round_in_progress_ || round_scheduled_) {
    return;
  }
  const int64_t wait_ms = round_started_ms_ + kRoundIntervalMs - clock_.monotonicMs();
  if (wait_ms <= 0) {
    startRound();
    return;
  }
  round_scheduled_ = true;
  round_timer_.expires_after(std::chrono::milliseconds(wait_ms));
  round_timer_.async_wait([this](boost::system::error_code failure) {
    if (!failure) {
      round_scheduled_ = false;
      startRound();
    }
  });
}

void LeaseService::startRound() {
  round_in_progress_ = true;
  round_started_ms_ = clock_.monotonicMs();
  using Read = CallOutcome<const v1::StoredConfiguration*>;
  replica_.read([this, alive = std::weak_ptr<char>(alive_),
                 renewals = std::exchange(pending_renewals_, {})](const Read& read) {
    const auto* stored = std::get_if<const v1::StoredConfiguration*>(&read);
    // An outcome without a value means that this replica is stopping. Relays whose renewals are
    // then left unanswered lose their link and renew at another replica.
    if (!alive.expired() && stored != nullptr) {
      roundEnded(renewals, *stored != nullptr);
    }
  });
}

void LeaseService::roundEnded(std::vector<PendingRenewal> renewals, bool confirmed) {
  round_in_progress_ = false;
  if (confirmed) {
    beginTermIfNew();
    std::for_each(renewals.begin(), renewals.end(),
                  [this](const PendingRenewal& renewal) { confirm(renewal); });
  } else if (replica_.isLeader()) {
    // The leader was just elected and has not committed an entry of its term. The renewals are
    // retried in the next round.
    std::move(pending_renewals_.begin(), pending_renewals_.end(), std::back_inserter(renewals));
    pending_renewals_ = std::move(renewals);
  } else {
    for (const PendingRenewal& renewal : renewals) {
      if (const auto link = renewal.link.lock()) {
        sendLeaderAddress(link, renewal.sequence);
      }
    }
  }
  if (!pending_renewals_.empty()) {
    scheduleRound();
  }
}

void LeaseService::confirm(const PendingRenewal& renewal) {
  const auto link = renewal.link.lock();
  const auto found = relays_.find(renewal.relay);
  if (!link || found == relays_.end() || found->second.link.lock() != link) {
    return;
  }
  if (updates_.lacksConfiguration(found->second.sent) && !updates_.linkReady()) {
    // A confirmation must come with the configuration, so it waits until the bandwidth limit
    // allows sending both.
    pending_renewals_.push_back(renewal);
    return;
  }
  v1::Frame frame;
  v1::LeaseReply& reply = *frame.mutable_lease();
  reply.set_sequence(renewal.sequence);
  reply.set_confirmed(true);
  reply.set_renew_period_ms(static_cast<uint32_t>(
      relay::renewalPeriodForFleetMs(relay::kRenewalPeriodMs, relays_.size())));
  updates_.addAll(found->second.sent, reply);
  send(link, frame);
}

/// Sends a frame and counts large data against the bandwidth limit.
void LeaseService::send(const std::shared_ptr<link::FramedLink>& link, const v1::Frame& frame) {
  updates_.recordSent(frame);
  link->send(frame);
}

void LeaseService::setQuarantine() {
  crash_counts_.setQuarantine(replica_.quarantine());
  part_crash_counts_.setQuarantine(replica_.quarantine());
}

/// Proposes the quarantine orders that are due according to the runner crashes reported by relays,
/// and asks the relays about parts of prompts that are suspected.
void LeaseService::orderQuarantine() {
  const int64_t now_ms = clock_.monotonicMs();
  const uint64_t wall_ms = clock_.wallMs();
  std::vector<v1::QuarantineOrder> orders = crash_counts_.dueOrders(now_ms, wall_ms);
  std::vector<v1::QuarantineOrder> of_parts = part_crash_counts_.dueOrders(now_ms, wall_ms);
  std::move(of_parts.begin(), of_parts.end(), std::back_inserter(orders));
  if (part_crash_counts_.takeSuspectsChanged()) {
    updates_.setSuspectedParts(part_crash_counts_.suspects());
    pushOrders();
  }
  for (v1::QuarantineOrder& order : orders) {
    line_log::write("quarantine_ordered",
                    {{"identity", relay::textOf(relay::identityOf(order.request().request()))},
                     {"begin", order.begin()},
                     {"runners_ended", order.request().runners_ended()},
                     {"counted", crash_counts_.requestCount()}});
    v1::GroupCommand command;
    *command.mutable_quarantine() = std::move(order);
    // The outcome is ignored: an order that was not stored becomes due again.
    replica_.order(command, [](const CallOutcome<StoreOutcome>&) {});
  }
}

void LeaseService::stepRollouts() {
  if (replica_.rollouts().rollouts().empty()) {
    return;
  }
  const uint64_t version = replica_.rollouts().version();
  RelayRolloutSummary relays{
      .renewal_period_ms = relay::renewalPeriodForFleetMs(relay::kRenewalPeriodMs, relays_.size()),
      .silent = silent_relays_.count(clock_.monotonicMs())};
  for (const auto& [name, relay] : relays_) {
    const bool up_to_date = relay.renewal.rollout_version() >= version;
    relays.all_up_to_date = relays.all_up_to_date && up_to_date;
    for (const v1::RolloutReport& report : relay.renewal.rollouts()) {
      relays.former_in_progress[report.rollout()] += report.former_in_progress();
    }
  }
  rollout_controller_.step(relays, updates_.runners());
}

/// Asks the relays that the renewal reports as silent to renew immediately, to find out whether
/// they have failed.
void LeaseService::requestEarlyRenewals(const v1::LeaseRenewal& renewal) {
  for (const std::string& address : renewal.silent_relays()) {
    const auto found = std::find_if(relays_.begin(), relays_.end(), [&](const auto& entry) {
      return entry.second.renewal.address() == address;
    });
    if (found == relays_.end() ||
        !relay_monitor_.reportUnanswered(found->first, clock_.monotonicMs())) {
      continue;
    }
    line_log::write("relay_asked", {{"relay", found->first}, {"reported_by", renewal.name()}});
    if (const auto link = found->second.link.lock()) {
      v1::Frame frame;
      frame.mutable_lease()->set_renew_now(true);
      link->send(frame);
    }
  }
}

void LeaseService::dropSilentRelays() {
  const int64_t now_ms = clock_.monotonicMs();
  const int64_t period_ms = relay::renewalPeriodForFleetMs(relay::kRenewalPeriodMs, relays_.size());
  for (const std::string& relay : relay_monitor_.takeSilent(period_ms, now_ms)) {
    line_log::write("relay_silent", {{"relay", relay}});
    silent_relays_.recordSilent(relay, now_ms);
    removeRelay(relay);
  }
}

void LeaseService::refreshRelayList() {
  v1::RelayList list;
  list.set_silent(silent_relays_.count(clock_.monotonicMs()));
  for (const auto& [name, relay] : relays_) {
    if (relay.renewal.ready()) {
      v1::RelayEntry* entry = list.add_relays();
      entry->set_address(relay.renewal.address());
      entry->set_zone(relay.renewal.zone());
      *entry->mutable_lost_services() = relay.renewal.lost_services();
    }
  }
  updates_.setRelays(std::move(list));
}

v1::RunnerLoads LeaseService::totalLoads() {
  const uint64_t version = updates_.runners().version();
  relay::LoadTotals totals(version, static_cast<size_t>(updates_.runners().runners_size()));
  for (const auto& [name, relay] : relays_) {
    const v1::RunnerLoads& loads = relay.renewal.loads();
    if (loads.list_version() == version) {
      totals.add(loads);
    } else if (const auto* positions = updates_.positionsFrom(loads.list_version())) {
      totals.addFromOlderList(loads, *positions);
    }
  }
  return totals.totals();
}

v1::TenantPositions LeaseService::tenantsOverShare() const {
  relay::TenantTotals totals(replica_.stored().version());
  for (const auto& [name, relay] : relays_) {
    totals.add(relay.renewal.tenants());
  }
  uint64_t slots = 0;
  for (const v1::RunnerEntry& runner : updates_.runners().runners()) {
    slots += runner.slots();
  }
  return totals.overShare(slots);
}

void LeaseService::updateRunnerList(v1::RunnerList list) {
  if (!replica_.leads()) {
    updates_.updateRunnersWithoutLeader(std::move(list));
    return;
  }
  beginTermIfNew();
  served_versions_.recordList(list);
  if (!updates_.updateRunners(std::move(list))) {
    return;
  }
  line_log::write("runner_list", {{"version", updates_.runners().version()},
                                  {"runners", updates_.runners().runners_size()}});
  pushLargeData();
}

void LeaseService::pushOrders() {
  for (auto& [name, relay] : relays_) {
    const auto link = relay.link.lock();
    if (!link || !updates_.lacksOrders(relay.sent)) {
      continue;
    }
    v1::Frame frame;
    updates_.addOrders(relay.sent, *frame.mutable_lease());
    send(link, frame);
  }
}

void LeaseService::pushLargeData() {
  if (!push_scheduled_) {
    pushUntilLimit();
  }
}

/// Pushes large data to relays that lack it until the bandwidth limit is reached, and continues
/// after a delay.
void LeaseService::pushUntilLimit() {
  push_scheduled_ = false;
  if (!replica_.leads()) {
    return;
  }
  bool incomplete = false;
  for (auto& [name, relay] : relays_) {
    const auto link = relay.link.lock();
    if (!link || !updates_.lacksLargeData(relay.sent)) {
      continue;
    }
    if (!updates_.linkReady()) {
      incomplete = true;
      break;
    }
    v1::Frame frame;
    updates_.addConfiguration(relay.sent, *frame.mutable_lease());
    updates_.addRunners(relay.sent, *frame.mutable_lease());
    send(link, frame);
  }
  if (!incomplete) {
    return;
  }
  push_scheduled_ = true;
  push_timer_.expires_after(kPushInterval);
  push_timer_.async_wait([this](boost::system::error_code failure) {
    if (!failure) {
      pushUntilLimit();
    }
  });
}

void LeaseService::stateChanged() {
  // Recorded even if this replica is not the leader, since it may later send differences to this
  // configuration as the leader.
  updates_.recordConfiguration();
  setQuarantine();
  if (!replica_.leads()) {
    return;
  }
  pushOrders();
  pushLargeData();
}

} // namespace workshatch::daemon

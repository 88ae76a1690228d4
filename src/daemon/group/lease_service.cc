#include "daemon/group/lease_service.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "adapters/logging/line_log.h"
#include "core/relay/load_totals.h"
#include "core/relay/renewal_period.h"
#include "core/relay/request_identity.h"
#include "core/relay/tenant_shares.h"

namespace workshatch::daemon {

namespace {

/// Sums of loads and the list of relays are made anew at most this often, so that a renewal costs
/// the leader the same however many relays there are.
constexpr int64_t kMinRefreshMs = 30;
/// But the list of relays at least this often: callers are told to go to a relay that is gone until
/// then.
constexpr int64_t kMaxRefreshMs = 300;
/// Sums are made anew after one millisecond for so many relays: at 300 every 100 ms. They then lag
/// behind by a renewal's way and half a period of renewals, in place of a period and a half.
constexpr int64_t kSummedRelaysPerMs = 3;
/// Rounds of heartbeats for renewals begin so far apart: within a tick of the group, which has a
/// round of its own, so that renewals at most double the heartbeats.
constexpr int64_t kRoundIntervalMs = 25;
/// When what the link could not bear is gone on with: a fifth of the pace's burst.
constexpr std::chrono::milliseconds kPushInterval{10};

} // namespace

/// Begins a new leadership: relays register again.
void LeaseService::beginTermIfNew() {
  if (updates_.term() == replica_.term()) {
    return;
  }
  updates_.beginTerm();
  crash_counts_.setQuarantine(replica_.quarantine());
  relays_.clear();
  relay_monitor_.clear();
  silent_relays_.clear();
  rollout_controller_.beginTerm();
  refresh_due_ms_ = 0;
  load_totals_due_ms_ = 0;
}

void LeaseService::linkClosed(const std::string& relay, uint64_t incarnation) {
  const auto found = relays_.find(relay);
  const bool same = found != relays_.end() && found->second.renewal.incarnation() == incarnation;
  if (same) {
    // A process that died is missed at once; one that only lost its link renews on another.
    relay_monitor_.forget(relay);
    relays_.erase(found);
  }
}

void LeaseService::handleRenewal(const std::shared_ptr<link::FramedLink>& link,
                                 const v1::LeaseRenewal& renewal) {
  // Also without leading: a relay tells it once, and this replica may lead next.
  crash_counts_.addReport(renewal, clock_.monotonicMs());
  if (!replica_.isLeader()) {
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
  std::erase_if(leaderless_, [&](const std::weak_ptr<link::FramedLink>& waiting) {
    const auto known = waiting.lock();
    return !known || known == link;
  });
  leaderless_.push_back(link);
}

/// Tells a relay who leads, as far as this replica knows; confirms nothing.
void LeaseService::sendLeaderAddress(const std::shared_ptr<link::FramedLink>& link,
                                     uint64_t sequence) const {
  v1::Frame frame;
  v1::LeaseReply& reply = *frame.mutable_lease();
  reply.set_sequence(sequence);
  for (const std::string& member : replica_.memberAddresses()) {
    reply.add_members(member);
  }
  reply.set_leader_address(replica_.isLeader() ? replica_.ownAddress() : replica_.leaderAddress());
  link->send(frame);
}

void LeaseService::leaderKnown() {
  for (const auto& waiting : std::exchange(leaderless_, {})) {
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
                              .rollouts = renewal.rollout_version()};
  }
  relay.sent.runner_list_fingerprint = renewal.runner_list_fingerprint();
  rollout_controller_.addReport(renewal);
  relay.renewal = renewal;
  // Counted already.
  relay.renewal.clear_runner_ends();
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
    // Relays whose renewal the end of this process cuts off turn to another replica with their
    // link.
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
    // Elected just now: nothing of its term is committed yet.
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
    // A confirmation is worth nothing without the configuration: it waits for the link.
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

/// Sends a frame, and counts what is large towards the link's pace.
void LeaseService::send(const std::shared_ptr<link::FramedLink>& link, const v1::Frame& frame) {
  updates_.recordSent(frame);
  link->send(frame);
}

/// Gives the orders that are due by the ends of runners that relays have told.
void LeaseService::orderQuarantine() {
  for (v1::QuarantineOrder& order :
       crash_counts_.dueOrders(clock_.monotonicMs(), clock_.wallMs())) {
    line_log::write("quarantine_ordered",
                    {{"identity", relay::textOf(relay::identityOf(order.request().request()))},
                     {"begin", order.begin()},
                     {"runners_ended", order.request().runners_ended()},
                     {"counted", crash_counts_.requestCount()}});
    v1::GroupCommand command;
    *command.mutable_quarantine() = std::move(order);
    // One that is not stored is due again a moment later.
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
    const bool knows = relay.renewal.rollout_version() >= version;
    relays.all_up_to_date = relays.all_up_to_date && knows;
    for (const v1::RolloutReport& report : relay.renewal.rollouts()) {
      relays.former_in_progress[report.rollout()] += report.former_in_progress();
    }
  }
  rollout_controller_.step(relays, updates_.runners());
}

/// Asks relays that did not answer another one to renew at once.
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
    relays_.erase(relay);
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
    }
  }
  updates_.setRelays(std::move(list));
}

v1::RunnerLoads LeaseService::totalLoads() {
  const uint64_t version = updates_.runners().version();
  relay::LoadTotals sums(version, static_cast<size_t>(updates_.runners().runners_size()));
  for (const auto& [name, relay] : relays_) {
    const v1::RunnerLoads& loads = relay.renewal.loads();
    if (loads.list_version() == version) {
      sums.add(loads);
    } else if (const auto* positions = updates_.positionsFrom(loads.list_version())) {
      sums.addFromOlderList(loads, *positions);
    }
  }
  return sums.totals();
}

v1::TenantPositions LeaseService::tenantsOverShare() const {
  relay::TenantTotals sums(replica_.stored().version());
  for (const auto& [name, relay] : relays_) {
    sums.add(relay.renewal.tenants());
  }
  uint64_t places = 0;
  for (const v1::RunnerEntry& runner : updates_.runners().runners()) {
    places += runner.slots();
  }
  return sums.overShare(places);
}

void LeaseService::updateRunnerList(v1::RunnerList list) {
  if (!replica_.leads()) {
    updates_.updateRunnersWithoutLeader(std::move(list));
    return;
  }
  beginTermIfNew();
  if (!updates_.updateRunners(std::move(list))) {
    return;
  }
  line_log::write("runner_list", {{"version", updates_.runners().version()},
                                  {"runners", updates_.runners().runners_size()}});
  pushLargeParts();
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

void LeaseService::pushLargeParts() {
  if (!push_scheduled_) {
    pushUntilPaced();
  }
}

/// Sends to the relays that lack something until the link has enough, and goes on a moment later.
void LeaseService::pushUntilPaced() {
  push_scheduled_ = false;
  if (!replica_.leads()) {
    return;
  }
  bool left = false;
  for (auto& [name, relay] : relays_) {
    const auto link = relay.link.lock();
    if (!link || !updates_.lacksLargePart(relay.sent)) {
      continue;
    }
    if (!updates_.linkReady()) {
      left = true;
      break;
    }
    v1::Frame frame;
    updates_.addConfiguration(relay.sent, *frame.mutable_lease());
    updates_.addRunners(relay.sent, *frame.mutable_lease());
    send(link, frame);
  }
  if (!left) {
    return;
  }
  push_scheduled_ = true;
  push_timer_.expires_after(kPushInterval);
  push_timer_.async_wait([this](boost::system::error_code failure) {
    if (!failure) {
      pushUntilPaced();
    }
  });
}

void LeaseService::stateChanged() {
  // A replica that does not lead remembers it too: it may have to tell the difference later.
  updates_.rememberConfiguration();
  crash_counts_.setQuarantine(replica_.quarantine());
  if (!replica_.leads()) {
    return;
  }
  pushOrders();
  pushLargeParts();
}

} // namespace workshatch::daemon

#include "daemon/group/relay_hub.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "adapters/logging/line_log.h"
#include "core/relay/load_sums.h"
#include "core/relay/renewal_period.h"
#include "core/relay/request_identity.h"
#include "core/relay/tenant_shares.h"

namespace workshatch::daemon {

namespace {

/// Sums of loads and the list of relays are made anew at most this often, so that a renewal costs
/// the leader the same however many relays there are.
constexpr int64_t kRefreshMs = 30;
/// But the list of relays at least this often: callers are told to go to a relay that is gone until
/// then.
constexpr int64_t kMostRefreshMs = 300;
/// Sums are made anew after one millisecond for so many relays: at 300 every 100 ms. They then lag
/// behind by a renewal's way and half a period of renewals, in place of a period and a half.
constexpr int64_t kSummedRelaysPerMs = 3;
/// Rounds of heartbeats for renewals begin so far apart: within a tick of the group, which has a
/// round of its own, so that renewals at most double the heartbeats.
constexpr int64_t kBetweenRoundsMs = 25;
/// When what the link could not bear is gone on with: a fifth of the pace's burst.
constexpr std::chrono::milliseconds kBetweenPushes{10};

} // namespace

/// Begins a new leadership: relays register again.
void RelayHub::takeTerm() {
  if (news_.term() == replica_.term()) {
    return;
  }
  news_.beginTerm();
  runner_ends_.setQuarantine(replica_.quarantine());
  relays_.clear();
  watch_.clear();
  silent_relays_.clear();
  rollout_judge_.beginTerm();
  refresh_due_ms_ = 0;
  sums_due_ms_ = 0;
}

void RelayHub::linkClosed(const std::string& relay, uint64_t incarnation) {
  const auto found = relays_.find(relay);
  const bool same = found != relays_.end() && found->second.renewal.incarnation() == incarnation;
  if (same) {
    // A process that died is missed at once; one that only lost its link renews on another.
    watch_.forget(relay);
    relays_.erase(found);
  }
}

void RelayHub::renewed(const std::shared_ptr<link::FramedLink>& link,
                       const v1::LeaseRenewal& renewal) {
  // Also without leading: a relay tells it once, and this replica may lead next.
  runner_ends_.take(renewal, clock_.monotonicMs());
  if (!replica_.isLeader()) {
    nameLeader(link, renewal.sequence());
    if (!replica_.knowsLeader()) {
      noteLeaderless(link);
    }
    return;
  }
  takeTerm();
  noteRenewal(link, renewal);
  orderQuarantine();
  unconfirmed_.push_back(
      Unconfirmed{.link = link, .relay = renewal.name(), .sequence = renewal.sequence()});
  startRoundSoon();
}

void RelayHub::noteLeaderless(const std::shared_ptr<link::FramedLink>& link) {
  std::erase_if(leaderless_, [&](const std::weak_ptr<link::FramedLink>& waiting) {
    const auto known = waiting.lock();
    return !known || known == link;
  });
  leaderless_.push_back(link);
}

/// Tells a relay who leads, as far as this replica knows; confirms nothing.
void RelayHub::nameLeader(const std::shared_ptr<link::FramedLink>& link, uint64_t sequence) const {
  v1::Frame frame;
  v1::LeaseReply& reply = *frame.mutable_lease();
  reply.set_sequence(sequence);
  for (const std::string& member : replica_.memberAddresses()) {
    reply.add_members(member);
  }
  reply.set_leader_address(replica_.isLeader() ? replica_.ownAddress() : replica_.leaderAddress());
  link->send(frame);
}

void RelayHub::leaderKnown() {
  for (const auto& waiting : std::exchange(leaderless_, {})) {
    if (const auto link = waiting.lock()) {
      nameLeader(link, 0);
    }
  }
}

void RelayHub::noteRenewal(const std::shared_ptr<link::FramedLink>& link,
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
  rollout_judge_.take(renewal);
  relay.renewal = renewal;
  // Counted already.
  relay.renewal.clear_runner_ends();
  watch_.heard(renewal.name(), clock_.monotonicMs());
  askSilent(renewal);
  silent_relays_.heard(renewal.name());
  if (joined) {
    line_log::write("relay_joined", {{"relay", renewal.name()}, {"address", renewal.address()}});
  }
  const int64_t now_ms = clock_.monotonicMs();
  if (now_ms >= refresh_due_ms_) {
    refresh_due_ms_ =
        now_ms + std::min(kMostRefreshMs, relay::periodForFleet(kRefreshMs, relays_.size()));
    dropSilent();
    refreshRelayList();
    news_.setOverShare(sumTenants());
    judgeRollouts();
  }
  if (now_ms >= sums_due_ms_) {
    sums_due_ms_ =
        now_ms + std::max(kRefreshMs, static_cast<int64_t>(relays_.size()) / kSummedRelaysPerMs);
    news_.setSums(sumLoads());
  }
}

void RelayHub::startRoundSoon() {
  if (round_in_progress_ || round_scheduled_) {
    return;
  }
  const int64_t wait_ms = round_started_ms_ + kBetweenRoundsMs - clock_.monotonicMs();
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

void RelayHub::startRound() {
  round_in_progress_ = true;
  round_started_ms_ = clock_.monotonicMs();
  using Read = CallOutcome<const v1::StoredConfiguration*>;
  replica_.read([this, alive = std::weak_ptr<char>(alive_),
                 renewals = std::exchange(unconfirmed_, {})](const Read& read) {
    const auto* stored = std::get_if<const v1::StoredConfiguration*>(&read);
    // Relays whose renewal the end of this process cuts off turn to another replica with their
    // link.
    if (!alive.expired() && stored != nullptr) {
      roundEnded(renewals, *stored != nullptr);
    }
  });
}

void RelayHub::roundEnded(std::vector<Unconfirmed> renewals, bool confirmed) {
  round_in_progress_ = false;
  if (confirmed) {
    takeTerm();
    std::for_each(renewals.begin(), renewals.end(),
                  [this](const Unconfirmed& renewal) { confirm(renewal); });
  } else if (replica_.isLeader()) {
    // Elected just now: nothing of its term is committed yet.
    std::move(unconfirmed_.begin(), unconfirmed_.end(), std::back_inserter(renewals));
    unconfirmed_ = std::move(renewals);
  } else {
    for (const Unconfirmed& renewal : renewals) {
      if (const auto link = renewal.link.lock()) {
        nameLeader(link, renewal.sequence);
      }
    }
  }
  if (!unconfirmed_.empty()) {
    startRoundSoon();
  }
}

void RelayHub::confirm(const Unconfirmed& renewal) {
  const auto link = renewal.link.lock();
  const auto found = relays_.find(renewal.relay);
  if (!link || found == relays_.end() || found->second.link.lock() != link) {
    return;
  }
  if (news_.lacksConfiguration(found->second.sent) && !news_.linkReady()) {
    // A confirmation is worth nothing without the configuration: it waits for the link.
    unconfirmed_.push_back(renewal);
    return;
  }
  v1::Frame frame;
  v1::LeaseReply& reply = *frame.mutable_lease();
  reply.set_sequence(renewal.sequence);
  reply.set_confirmed(true);
  reply.set_renew_period_ms(
      static_cast<uint32_t>(relay::periodForFleet(relay::kRenewalPeriodMs, relays_.size())));
  news_.addAll(found->second.sent, reply);
  send(link, frame);
}

/// Sends a frame, and counts what is large towards the link's pace.
void RelayHub::send(const std::shared_ptr<link::FramedLink>& link, const v1::Frame& frame) {
  news_.noteSent(frame);
  link->send(frame);
}

/// Gives the orders that are due by the ends of runners that relays have told.
void RelayHub::orderQuarantine() {
  for (v1::QuarantineOrder& order : runner_ends_.due(clock_.monotonicMs(), clock_.wallMs())) {
    line_log::write("quarantine_ordered",
                    {{"identity", relay::textOf(relay::identityOf(order.request().request()))},
                     {"begin", order.begin()},
                     {"runners_ended", order.request().runners_ended()},
                     {"counted", runner_ends_.requestCount()}});
    v1::GroupCommand command;
    *command.mutable_quarantine() = std::move(order);
    // One that is not stored is due again a moment later.
    replica_.order(command, [](const CallOutcome<StoreOutcome>&) {});
  }
}

void RelayHub::judgeRollouts() {
  if (replica_.rollouts().rollouts().empty()) {
    return;
  }
  const uint64_t version = replica_.rollouts().version();
  RelaysOfRollouts relays{.renewal_period_ms =
                              relay::periodForFleet(relay::kRenewalPeriodMs, relays_.size()),
                          .silent = silent_relays_.count(clock_.monotonicMs())};
  for (const auto& [name, relay] : relays_) {
    const bool knows = relay.renewal.rollout_version() >= version;
    relays.all_know = relays.all_know && knows;
    for (const v1::RolloutReport& report : relay.renewal.rollouts()) {
      relays.former_in_progress[report.rollout()] += report.former_in_progress();
    }
  }
  rollout_judge_.step(relays, news_.runners());
}

/// Asks relays that did not answer another one to renew at once.
void RelayHub::askSilent(const v1::LeaseRenewal& renewal) {
  for (const std::string& address : renewal.silent_relays()) {
    const auto found = std::find_if(relays_.begin(), relays_.end(), [&](const auto& entry) {
      return entry.second.renewal.address() == address;
    });
    if (found == relays_.end() || !watch_.reportedSilent(found->first, clock_.monotonicMs())) {
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

void RelayHub::dropSilent() {
  const int64_t now_ms = clock_.monotonicMs();
  const int64_t period_ms = relay::periodForFleet(relay::kRenewalPeriodMs, relays_.size());
  for (const std::string& relay : watch_.takeSilent(period_ms, now_ms)) {
    line_log::write("relay_silent", {{"relay", relay}});
    silent_relays_.fellSilent(relay, now_ms);
    relays_.erase(relay);
  }
}

void RelayHub::refreshRelayList() {
  v1::RelayList list;
  list.set_silent(silent_relays_.count(clock_.monotonicMs()));
  for (const auto& [name, relay] : relays_) {
    if (relay.renewal.ready()) {
      v1::RelayEntry* entry = list.add_relays();
      entry->set_address(relay.renewal.address());
      entry->set_zone(relay.renewal.zone());
    }
  }
  news_.setRelays(std::move(list));
}

v1::RunnerLoads RelayHub::sumLoads() {
  const uint64_t version = news_.runners().version();
  relay::LoadSums sums(version, static_cast<size_t>(news_.runners().runners_size()));
  for (const auto& [name, relay] : relays_) {
    const v1::RunnerLoads& loads = relay.renewal.loads();
    if (loads.list_version() == version) {
      sums.add(loads);
    } else if (const auto* positions = news_.positionsFrom(loads.list_version())) {
      sums.addMoved(loads, *positions);
    }
  }
  return sums.sums();
}

v1::TenantPositions RelayHub::sumTenants() const {
  relay::TenantSums sums(replica_.stored().version());
  for (const auto& [name, relay] : relays_) {
    sums.add(relay.renewal.tenants());
  }
  uint64_t places = 0;
  for (const v1::RunnerEntry& runner : news_.runners().runners()) {
    places += runner.slots();
  }
  return sums.overShare(places);
}

void RelayHub::runnersRead(v1::RunnerList list) {
  if (!replica_.leads()) {
    news_.takeRunnersWithoutLeader(std::move(list));
    return;
  }
  takeTerm();
  if (!news_.takeRunners(std::move(list))) {
    return;
  }
  line_log::write("runner_list", {{"version", news_.runners().version()},
                                  {"runners", news_.runners().runners_size()}});
  pushLargeParts();
}

void RelayHub::pushOrders() {
  for (auto& [name, relay] : relays_) {
    const auto link = relay.link.lock();
    if (!link || !news_.lacksOrders(relay.sent)) {
      continue;
    }
    v1::Frame frame;
    news_.addOrders(relay.sent, *frame.mutable_lease());
    send(link, frame);
  }
}

void RelayHub::pushLargeParts() {
  if (!push_scheduled_) {
    pushSome();
  }
}

/// Sends to the relays that lack something until the link has enough, and goes on a moment later.
void RelayHub::pushSome() {
  push_scheduled_ = false;
  if (!replica_.leads()) {
    return;
  }
  bool left = false;
  for (auto& [name, relay] : relays_) {
    const auto link = relay.link.lock();
    if (!link || !news_.lacksLargePart(relay.sent)) {
      continue;
    }
    if (!news_.linkReady()) {
      left = true;
      break;
    }
    v1::Frame frame;
    news_.addConfiguration(relay.sent, *frame.mutable_lease());
    news_.addRunners(relay.sent, *frame.mutable_lease());
    send(link, frame);
  }
  if (!left) {
    return;
  }
  push_scheduled_ = true;
  push_timer_.expires_after(kBetweenPushes);
  push_timer_.async_wait([this](boost::system::error_code failure) {
    if (!failure) {
      pushSome();
    }
  });
}

void RelayHub::stateChanged() {
  // A replica that does not lead remembers it too: it may have to tell the difference later.
  news_.rememberConfiguration();
  runner_ends_.setQuarantine(replica_.quarantine());
  if (!replica_.leads()) {
    return;
  }
  pushOrders();
  pushLargeParts();
}

} // namespace workshatch::daemon

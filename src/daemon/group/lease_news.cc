#include "daemon/group/lease_news.h"

#include <algorithm>
#include <utility>

namespace workshatch::daemon {

namespace {

/// A new leader tells no list of relays and no sums before all had time to renew.
constexpr int64_t kSettleMs = 1000;
constexpr int64_t kSumsBytesPerSecond = 2048;
constexpr int64_t kMostBetweenSumsMs = 1000;
constexpr int64_t kMsPerSecond = 1000;

} // namespace

void LeaseNews::beginTerm() {
  versions_.begin(replica_.term());
  relay_lists_.clear();
  sums_.Clear();
  runners_.begin(versions_, clock_.monotonicMs());
  runner_history_.clear();
  if (runners_.list().version() != 0) {
    runner_history_.add(runners_.list());
  }
}

bool LeaseNews::takeRunners(v1::RunnerList list) {
  const relay::ListNews news_of_list = runners_.readWhileLeading(std::move(list), versions_);
  if (news_of_list == relay::ListNews::ColdTimesFell) {
    runner_history_.refreshNewest(runners_.list());
  }
  if (news_of_list != relay::ListNews::Runners) {
    return false;
  }
  runner_history_.add(runners_.list());
  return true;
}

void LeaseNews::takeRunnersWithoutLeader(v1::RunnerList list) {
  runners_.readWithoutLeader(std::move(list), clock_.monotonicMs());
}

void LeaseNews::setRelays(v1::RelayList list) {
  relay_lists_.set(std::move(list), versions_.next());
}

bool LeaseNews::lacksConfiguration(const SentVersions& sent) const {
  return replica_.stored().version() > sent.configuration;
}

bool LeaseNews::lacksLargePart(const SentVersions& sent) const {
  const uint64_t list_version = runners_.list().version();
  return lacksConfiguration(sent) || (list_version != 0 && list_version != sent.runner_list);
}

void LeaseNews::addConfiguration(SentVersions& sent, v1::LeaseReply& reply) {
  if (!lacksConfiguration(sent)) {
    return;
  }
  configurations_.add(replica_.stored());
  *reply.mutable_configuration() = configurations_.updateFrom(sent.configuration);
  sent.configuration = replica_.stored().version();
}

bool LeaseNews::lacksOrders(const SentVersions& sent) const {
  return sent.evacuations != replica_.evacuations().version() ||
         sent.quarantine != replica_.quarantine().version() ||
         sent.rollouts != replica_.rollouts().version();
}

void LeaseNews::addOrders(SentVersions& sent, v1::LeaseReply& reply) const {
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
}

void LeaseNews::addMembers(SentVersions& sent, v1::LeaseReply& reply) const {
  std::vector<std::string> members = replica_.memberAddresses();
  if (members == sent.members) {
    return;
  }
  reply.mutable_members()->Assign(members.begin(), members.end());
  sent.members = std::move(members);
}

/// Sums of a large fleet are long; they are told less often, so that a relay's share of its link
/// stays the same.
void LeaseNews::addSums(SentVersions& sent, v1::LeaseReply& reply) const {
  const int64_t now = clock_.monotonicMs();
  // A new leader knows the loads of the relays that have renewed since; too low a mean would make
  // limits that follow it refuse places that are free.
  const bool settled = replica_.leadingForMs() >= kSettleMs;
  const bool known =
      settled && sums_.list_version() != 0 && sums_.list_version() == runners_.list().version();
  if (!known || now < sent.sums_due_ms) {
    return;
  }
  *reply.mutable_loads() = sums_;
  *reply.mutable_over_share() = over_share_;
  const auto bytes = static_cast<int64_t>(sums_.ByteSizeLong());
  sent.sums_due_ms = now + std::min(kMostBetweenSumsMs, bytes * kMsPerSecond / kSumsBytesPerSecond);
}

void LeaseNews::addRunners(SentVersions& sent, v1::LeaseReply& reply) {
  const v1::RunnerList& list = runners_.list();
  if (list.version() == 0 || list.version() == sent.runner_list) {
    return;
  }
  *reply.mutable_runners() =
      runner_history_.updateFrom(sent.runner_list, sent.runner_list_fingerprint);
  sent.runner_list = list.version();
}

void LeaseNews::addAll(SentVersions& sent, v1::LeaseReply& reply) {
  addMembers(sent, reply);
  addConfiguration(sent, reply);
  addOrders(sent, reply);
  addSums(sent, reply);
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

void LeaseNews::noteSent(const v1::Frame& frame) {
  const v1::LeaseReply& reply = frame.lease();
  if (reply.has_configuration() || reply.has_runners() || reply.has_relays()) {
    pacer_.spend(frame.ByteSizeLong());
  }
}

} // namespace workshatch::daemon

#include "core/relay/version_admission.h"

#include <algorithm>

#include "core/relay/group_state.h"

namespace workshatch::relay {

namespace {

/// Time after which the last version of a service that has no runners is stopped. Until then a
/// runner that returns gets streams at once.
constexpr int64_t kForgetServiceMs = int64_t{60} * 60 * 1000;

v1::VersionOrder orderOf(v1::VersionStep step, const std::string& service,
                         const std::string& version) {
  v1::VersionOrder order;
  order.set_step(step);
  order.set_service(service);
  order.set_version(version);
  return order;
}

bool hasVersionIn(const v1::ServedVersionList& served, v1::VersionState state) {
  return std::any_of(
      served.services().begin(), served.services().end(),
      [state](const v1::ServiceVersions& service) { return countVersions(service, state) != 0; });
}

} // namespace

void VersionAdmission::beginTerm() {
  listed_.clear();
  list_read_ = false;
  unlisted_since_ms_.clear();
  waiting_.clear();
}

void VersionAdmission::recordList(const v1::RunnerList& runners, const v1::RolloutList& rollouts,
                                  const v1::ServedVersionList& served, int64_t now_ms) {
  listed_.clear();
  list_read_ = true;
  for (const v1::RunnerEntry& entry : runners.runners()) {
    listed_[entry.service()].insert(entry.version());
  }
  for (const v1::Rollout& rollout : rollouts.rollouts()) {
    const auto service = listed_.find(rollout.service());
    if (service != listed_.end() && isInProgress(rollout)) {
      service->second.insert(rollout.target_version());
    }
  }
  std::map<Key, int64_t> unlisted_since_ms;
  for (const v1::ServiceVersions& service : served.services()) {
    for (const v1::ServedVersion& version : service.versions()) {
      Key key(service.service(), version.version());
      if (isListed(key)) {
        continue;
      }
      const auto known = unlisted_since_ms_.find(key);
      const int64_t since_ms = known == unlisted_since_ms_.end() ? now_ms : known->second;
      unlisted_since_ms.emplace(std::move(key), since_ms);
    }
  }
  unlisted_since_ms_ = std::move(unlisted_since_ms);
}

bool VersionAdmission::isListed(const Key& key) const {
  const auto service = listed_.find(key.first);
  return service != listed_.end() && service->second.contains(key.second);
}

bool VersionAdmission::hasStoppedVersions(const v1::ServedVersionList& served) {
  return hasVersionIn(served, v1::VERSION_STOPPED);
}

bool VersionAdmission::awaitsRelays(const v1::ServedVersionList& served) {
  return hasVersionIn(served, v1::VERSION_ANNOUNCED) || hasStoppedVersions(served);
}

std::vector<v1::VersionOrder> VersionAdmission::dueOrders(const v1::ServedVersionList& served,
                                                          const AdmissionConditions& conditions,
                                                          int64_t now_ms) {
  updateWaiting(served, conditions.all_relays_know, now_ms);
  std::vector<v1::VersionOrder> orders;
  if (!list_read_) {
    return orders;
  }
  addAnnouncements(served, orders);
  for (const v1::ServiceVersions& service : served.services()) {
    uint64_t serving = countVersions(service, v1::VERSION_SERVING);
    for (const v1::ServedVersion& version : service.versions()) {
      const bool serves = version.state() == v1::VERSION_SERVING;
      const v1::VersionStep step =
          dueStep(Key(service.service(), version.version()), version.state(),
                  serves ? serving - 1 : serving, conditions, now_ms);
      if (step == v1::VERSION_STEP_UNKNOWN) {
        continue;
      }
      orders.push_back(orderOf(step, service.service(), version.version()));
      serving -= serves ? 1 : 0;
    }
  }
  return orders;
}

void VersionAdmission::addAnnouncements(const v1::ServedVersionList& served,
                                        std::vector<v1::VersionOrder>& orders) {
  for (const auto& [service, versions] : listed_) {
    const v1::ServiceVersions* known = findServiceVersions(served, service);
    const bool has_room = known == nullptr ? served.services_size() < kMaxServedServices
                                           : known->versions_size() < kMaxServedVersions;
    for (const std::string& version : versions) {
      if (has_room && stateOf(served, service, version) == v1::VERSION_STATE_UNKNOWN) {
        orders.push_back(orderOf(v1::VERSION_STEP_ANNOUNCE, service, version));
      }
    }
  }
}

/// Records since when the relays know of versions that are announced or stopped.
void VersionAdmission::updateWaiting(const v1::ServedVersionList& served, bool all_relays_know,
                                     int64_t now_ms) {
  std::map<Key, Waiting> waiting;
  for (const v1::ServiceVersions& service : served.services()) {
    for (const v1::ServedVersion& version : service.versions()) {
      if (version.state() == v1::VERSION_SERVING) {
        continue;
      }
      Key key(service.service(), version.version());
      const auto seen = waiting_.find(key);
      const bool seen_before = seen != waiting_.end() && seen->second.state == version.state();
      Waiting entry =
          seen_before ? seen->second : Waiting{.state = version.state(), .since_ms = now_ms};
      if (!entry.known_since_ms && (all_relays_know || now_ms - entry.since_ms >= lease_ms_)) {
        entry.known_since_ms = now_ms;
      }
      waiting.emplace(std::move(key), entry);
    }
  }
  waiting_ = std::move(waiting);
}

/// @param others_serving number of the service's other versions that serve and stay
/// @return the step that is due for a version; unknown: none.
v1::VersionStep VersionAdmission::dueStep(const Key& key, v1::VersionState state,
                                          uint64_t others_serving,
                                          const AdmissionConditions& conditions,
                                          int64_t now_ms) const {
  if (isListed(key)) {
    const auto waiting = waiting_.find(key);
    const bool known = waiting != waiting_.end() && waiting->second.known_since_ms;
    return known ? v1::VERSION_STEP_SERVE : v1::VERSION_STEP_UNKNOWN;
  }
  const auto unlisted = unlisted_since_ms_.find(key);
  if (unlisted == unlisted_since_ms_.end()) {
    return v1::VERSION_STEP_UNKNOWN;
  }
  if (state != v1::VERSION_STOPPED) {
    // A short absence from the list, as of the only runner of a version that restarts, is no
    // reason.
    const int64_t needed_ms = others_serving != 0 ? lease_ms_ : kForgetServiceMs;
    return now_ms - unlisted->second >= needed_ms ? v1::VERSION_STEP_STOP
                                                  : v1::VERSION_STEP_UNKNOWN;
  }
  const std::optional<int64_t>& known_since_ms = waiting_.at(key).known_since_ms;
  const bool over = conditions.stream_lifetime_ms && known_since_ms &&
                    now_ms - *known_since_ms >= *conditions.stream_lifetime_ms;
  return over ? v1::VERSION_STEP_RETIRE : v1::VERSION_STEP_UNKNOWN;
}

} // namespace workshatch::relay

#include "core/relay/runner_table.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "core/relay/runner_entry.h"
#include "core/relay/runner_incarnation.h"
#include "core/relay/runner_list_history.h"
#include "core/relay/runner_loads.h"
#include "core/relay/served_versions.h"
#include "core/scheduling/service_reports.h"
#include "core/scheduling/work_time.h"

namespace workshatch::relay {

namespace {

/// Weight of the newest attempt in the failure rate.
constexpr double kNewestWeight = 0.15;
/// Number of failures in a row after which a runner is avoided.
constexpr uint32_t kFailuresToAvoid = 3;
constexpr int64_t kAvoidUnreachableMs = 500;
constexpr int64_t kMaxAvoidMs = 4000;
constexpr int64_t kAvoidFailingMs = 1000;
/// Time for which a runner that declined a request counts as full. The time is shorter if few
/// requests are known to be there, because the reason for declining may have passed already.
constexpr int64_t kFullMs = 100;
constexpr int64_t kFullWhileIdleMs = 20;
constexpr int64_t kAvoidMisdirectedMs = 5000;
/// Time for which the runners of a service count as brittle after one of them said so. All their
/// responses say it, but a relay may get none of them for a while.
constexpr int64_t kBrittleValidMs = 5000;

int64_t holdDownMs(int64_t first_ms, uint32_t failures) {
  constexpr uint32_t kMaxDoublings = 5;
  const uint32_t doublings = std::min(failures == 0 ? 0 : failures - 1, kMaxDoublings);
  return std::min(first_ms << doublings, kMaxAvoidMs);
}

bool comesBeforeRunner(const std::shared_ptr<Runner>& left, const std::shared_ptr<Runner>& right) {
  return left->entry.id() < right->entry.id();
}

/// @return the runner with this id in a list that is sorted by id; null: none.
std::shared_ptr<Runner> findById(const std::vector<std::shared_ptr<Runner>>& runners,
                                 const std::string& id) {
  const auto position =
      std::lower_bound(runners.begin(), runners.end(), id,
                       [](const std::shared_ptr<Runner>& runner, const std::string& searched) {
                         return runner->entry.id() < searched;
                       });
  return position != runners.end() && (*position)->entry.id() == id ? *position : nullptr;
}

} // namespace

std::shared_ptr<Runner> RunnerTable::runnerFor(std::shared_ptr<Runner> known,
                                               const v1::RunnerEntry& entry,
                                               int64_t listed_since_ms) const {
  // A restarted process starts without the failures, load and cached prefixes of its predecessor.
  if (known && sameIncarnation(known->entry, entry)) {
    return known;
  }
  auto runner = std::make_shared<Runner>();
  runner->fingerprint = incarnationOf(entry).fingerprint();
  runner->listed_since_ms = listed_since_ms;
  runner->backoff = backoffs_.find(runner->fingerprint);
  return runner;
}

void RunnerTable::setList(const v1::RunnerList& list, int64_t now_ms) {
  const int64_t listed_since_ms = runners_.empty() ? 0 : now_ms;
  std::unordered_map<std::string, std::shared_ptr<Runner>> known;
  for (auto& runner : runners_) {
    runner->gone = true;
    known.emplace(runner->entry.id(), runner);
  }
  runners_.clear();
  by_fingerprint_.clear();
  for (auto& [service, state] : services_) {
    state.runners.clear();
  }
  list_version_ = list.version();
  list_fingerprint_ = 0;
  for (const v1::RunnerEntry& entry : list.runners()) {
    auto runner = runnerFor(known[entry.id()], entry, listed_since_ms);
    applyEntry(*runner, entry, now_ms);
    list_fingerprint_ += runner->entry_fingerprint;
    runners_.push_back(runner);
    by_fingerprint_[runner->fingerprint] = runner;
    services_[entry.service()].runners.push_back(std::move(runner));
  }
}

void RunnerTable::delist(Runner& runner) {
  runner.gone = true;
  list_fingerprint_ -= runner.entry_fingerprint;
  by_fingerprint_.erase(runner.fingerprint);
}

void RunnerTable::removeGone(Candidates& runners) {
  std::erase_if(runners, [](const auto& runner) { return runner->gone; });
}

void RunnerTable::insertSorted(Candidates& runners, Candidates added) {
  std::sort(added.begin(), added.end(), comesBeforeRunner);
  const auto middle = static_cast<ptrdiff_t>(runners.size());
  runners.insert(runners.end(), std::make_move_iterator(added.begin()),
                 std::make_move_iterator(added.end()));
  std::inplace_merge(runners.begin(), runners.begin() + middle, runners.end(), comesBeforeRunner);
}

Result<std::monostate> RunnerTable::applyUpdate(const v1::RunnerListUpdate& update,
                                                int64_t now_ms) {
  if (update.base_version() == 0) {
    auto list = relay::applyUpdate(v1::RunnerList(), update);
    if (isError(list)) {
      return errorOf(list);
    }
    setList(std::get<v1::RunnerList>(list), now_ms);
    return std::monostate{};
  }
  if (update.base_version() != list_version_) {
    return Error{"the runner list update is based on another version"};
  }
  const auto changed = changedEntries(update);
  if (isError(changed)) {
    return errorOf(changed);
  }
  const int64_t listed_since_ms = runners_.empty() ? 0 : now_ms;
  list_version_ = update.version();
  for (const std::string& id : update.removed()) {
    if (const auto runner = findById(runners_, id)) {
      delist(*runner);
    }
  }
  Candidates added;
  for (const v1::RunnerEntry& entry : std::get<v1::RunnerList>(changed).runners()) {
    const auto known = findById(runners_, entry.id());
    const bool moved = known && known->entry.service() != entry.service();
    auto runner = runnerFor(moved ? nullptr : known, entry, listed_since_ms);
    if (known) {
      delist(*known);
    }
    const bool stays = runner == known;
    applyEntry(*runner, entry, now_ms);
    list_fingerprint_ += runner->entry_fingerprint;
    by_fingerprint_[runner->fingerprint] = runner;
    if (!stays) {
      added.push_back(std::move(runner));
    }
  }
  updateLists(std::move(added));
  return std::monostate{};
}

/// Removes delisted runners from all lists, and inserts the added ones.
void RunnerTable::updateLists(Candidates added) {
  removeGone(runners_);
  for (auto& [service, state] : services_) {
    removeGone(state.runners);
  }
  std::map<std::string, Candidates> by_service;
  for (const auto& runner : added) {
    by_service[runner->entry.service()].push_back(runner);
  }
  for (auto& [service, runners] : by_service) {
    insertSorted(services_[service].runners, std::move(runners));
  }
  insertSorted(runners_, std::move(added));
}

void RunnerTable::applyEntry(Runner& runner, const v1::RunnerEntry& entry, int64_t now_ms) {
  const bool newly_listed = runner.entry.id().empty() && runner.listed_since_ms != 0;
  const bool read_from_platform = list_version_ == 0;
  const bool version_known = read_from_platform && !runner.entry.id().empty() &&
                             !runner.version_unconfirmed &&
                             runner.entry.version() == entry.version();
  runner.version_unconfirmed = read_from_platform && !version_known;
  ++entries_applied_;
  runner.entry = entry;
  runner.entry_fingerprint = fingerprintOf(entry);
  // The cold time of an entry counts from now. The stored entry must not contain it, because the
  // next update would apply it again.
  runner.entry.clear_cold_ms();
  runner.gone = false;
  runner.region = options_.zones.regionOf(entry.zone());
  runner.evacuated = evacuated_zones_.contains(entry.zone());
  runner.begins_no_streams = beginsNoStreams(entry);
  cold_runners_.recordReportedCold(runner, entry.cold_ms(), now_ms);
  if (newly_listed) {
    cold_runners_.recordProcessStart(runner, now_ms);
  }
}

bool RunnerTable::beginsNoStreams(const v1::RunnerEntry& entry) const {
  return served_versions_.version() != 0 &&
         !isServing(served_versions_, entry.service(), entry.version());
}

void RunnerTable::setServedVersions(const v1::ServedVersionList& served) {
  served_versions_ = served;
  for (const auto& runner : runners_) {
    runner->begins_no_streams = beginsNoStreams(runner->entry);
  }
}

void RunnerTable::setEvacuations(const v1::EvacuationList& evacuations, int64_t now_ms) {
  evacuation_version_ = evacuations.version();
  evacuated_zones_.clear();
  for (const v1::EvacuatedZone& zone : evacuations.zones()) {
    evacuated_zones_.insert(zone.zone());
  }
  for (const auto& runner : runners_) {
    const bool evacuated = evacuated_zones_.contains(runner->entry.zone());
    if (std::exchange(runner->evacuated, evacuated) && !evacuated) {
      cold_runners_.recordProcessStart(*runner, now_ms);
    }
  }
}

bool RunnerTable::isAdmittedByRollout(const Runner& runner, bool trial, bool resumes) const {
  return admitsRequest(rollouts_.findRollout(runner.entry.service()), runner.entry.version(), trial,
                       resumes);
}

uint32_t RunnerTable::inProgressAtFormer(const v1::Rollout& rollout) const {
  const auto service = services_.find(rollout.service());
  if (service == services_.end()) {
    return 0;
  }
  uint32_t in_progress = 0;
  for (const auto& runner : service->second.runners) {
    in_progress += runner->entry.version() == rollout.target_version() ? 0 : runner->in_progress;
  }
  return in_progress;
}

v1::RunnerList RunnerTable::list() const {
  v1::RunnerList list;
  list.set_version(list_version_);
  for (const auto& runner : runners_) {
    *list.add_runners() = runner->entry;
  }
  return list;
}

void RunnerTable::setLoadTotals(const v1::RunnerLoads& totals, const v1::RunnerLoads& reported,
                                int64_t now_ms) {
  const auto total_counts =
      totals.list_version() == list_version_ ? countsOf(totals, runners_.size()) : std::nullopt;
  if (!total_counts) {
    return;
  }
  totals_received_ms_ = now_ms;
  const auto own_counts =
      reported.list_version() == list_version_ ? countsOf(reported, runners_.size()) : std::nullopt;
  for (size_t i = 0; i < runners_.size(); ++i) {
    const uint32_t total = (*total_counts)[i];
    const uint32_t own = own_counts ? (*own_counts)[i] : 0;
    const bool others = options_.policy.shared_loads && total > own;
    runners_[i]->others_in_progress = others ? total - own : 0;
    runners_[i]->in_progress_at_totals = runners_[i]->in_progress;
  }
  for (auto& [service, state] : services_) {
    state.requests_before_totals = std::exchange(state.requests_since_totals, 0);
  }
  for (const uint32_t position : totals.suspects()) {
    const bool believed = position < runners_.size() && options_.policy.shared_suspicions &&
                          !isHeard(*runners_[position], now_ms);
    if (believed) {
      runners_[position]->suspected_until_ms = now_ms + options_.suspicion_ms;
    }
  }
}

/// @return whether the runner sent something to this relay since the time at which a runner that
/// other relays now report as silent sent something for the last time.
bool RunnerTable::isHeard(const Runner& runner, int64_t now_ms) const {
  return runner.last_heard_ms != 0 && now_ms - runner.last_heard_ms < silenceLimitMs(runner);
}

void RunnerTable::dropStaleLoadTotals(int64_t now_ms) {
  if (totals_received_ms_ == 0 || now_ms - totals_received_ms_ < options_.load_totals_valid_ms) {
    return;
  }
  totals_received_ms_ = 0;
  for (const auto& runner : runners_) {
    runner->others_in_progress = 0;
  }
}

v1::RunnerLoads RunnerTable::ownLoads(int64_t now_ms) const {
  v1::RunnerLoads loads;
  loads.set_list_version(list_version_);
  std::vector<uint32_t> counts;
  counts.reserve(runners_.size());
  for (size_t i = 0; i < runners_.size(); ++i) {
    const Runner& runner = *runners_[i];
    counts.push_back(runner.in_progress);
    if (isSuspect(runner, now_ms)) {
      loads.add_suspects(static_cast<uint32_t>(i));
    }
  }
  setCounts(loads, counts);
  return loads;
}

/// @return whether the runner fails or is silent although another runner of its service was heard
/// since, so that the network path of this relay is not the cause.
bool RunnerTable::isSuspect(const Runner& runner, int64_t now_ms) const {
  const bool failing = runner.failures_in_row > 0 && runner.avoid_until_ms > now_ms;
  if (!failing && !isSilent(runner, now_ms)) {
    return false;
  }
  const ServiceRunners& service = services_.at(runner.entry.service());
  const int64_t since_ms =
      failing ? runner.failed_ms : runner.last_activity_ms + silenceLimitMs(runner);
  return !service.path_lost &&
         std::any_of(service.runners.begin(), service.runners.end(), [&](const auto& other) {
           return other.get() != &runner && other->last_heard_ms > since_ms;
         });
}

int64_t RunnerTable::silenceLimitMs(const Runner& runner) const {
  return runner.engine ? options_.silent_engine_ms : options_.silent_service_ms;
}

bool RunnerTable::isSilent(const Runner& runner, int64_t now_ms) const {
  return options_.policy.silence_limits && runner.in_progress > 0 &&
         now_ms - runner.last_activity_ms > silenceLimitMs(runner);
}

bool RunnerTable::isAvoided(const Runner& runner, int64_t now_ms) const {
  return isAvoidedByOwn(runner, now_ms) || runner.suspected_until_ms > now_ms;
}

/// @return whether the runner is avoided for what this relay itself has seen of it.
bool RunnerTable::isAvoidedByOwn(const Runner& runner, int64_t now_ms) const {
  return runner.avoid_until_ms > now_ms || isSilent(runner, now_ms);
}

ServiceEvidence RunnerTable::evidenceOf(const std::string& service, int64_t now_ms) const {
  ServiceEvidence evidence;
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return evidence;
  }
  int64_t last_heard_ms = 0;
  for (const auto& runner : found->second.runners) {
    const bool own = isAvoidedByOwn(*runner, now_ms);
    ++evidence.runners;
    evidence.avoided_by_own += own ? 1 : 0;
    evidence.avoided_by_reports += !own && runner->suspected_until_ms > now_ms ? 1 : 0;
    last_heard_ms = std::max(last_heard_ms, runner->last_heard_ms);
  }
  evidence.heard_ago_ms = last_heard_ms == 0 ? -1 : now_ms - last_heard_ms;
  return evidence;
}

void RunnerTable::recordLoad(Runner& runner, uint32_t load) const {
  if (options_.policy.shared_loads) {
    runner.others_in_progress = load > runner.in_progress ? load - runner.in_progress : 0;
  }
}

void RunnerTable::applyNotice(Runner& runner, const RunnerNotice& notice, int64_t now_ms) {
  cold_runners_.recordReportedCold(runner, notice.cold_ms.value_or(0), now_ms);
  if (notice.load && notice.load->work_time_factor) {
    recordWorkTime(runner, *notice.load->work_time_factor, now_ms);
  }
  if (notice.max_declines) {
    ServiceRunners& service = services_[runner.entry.service()];
    service.brittle_until_ms = now_ms + kBrittleValidMs;
    service.max_declines = *notice.max_declines;
  }
  runner.backoff = backoffs_.record(runner.fingerprint, notice, now_ms);
  // Since the attempt began the runner may have been removed from the list and added again.
  if (const auto listed = find(runner.fingerprint)) {
    listed->backoff = runner.backoff;
  }
}

std::optional<uint32_t> RunnerTable::maxDeclines(const std::string& service, int64_t now_ms) const {
  const auto found = services_.find(service);
  const bool brittle = found != services_.end() && found->second.brittle_until_ms > now_ms;
  return brittle ? std::optional(found->second.max_declines) : std::nullopt;
}

void RunnerTable::beginAttempt(Runner& runner, int64_t now_ms) const {
  if (runner.in_progress++ == 0) {
    runner.last_activity_ms = now_ms;
  }
}

void RunnerTable::recordSent(const RunnerRequest& request, const RunnerChoice& choice) {
  if (request.cache_key == 0) {
    return;
  }
  choice.runner->engine = true;
  prefix_sources_.recordSent(request.cache_key, request.parent_key, choice.runner, request.now_ms);
}

std::shared_ptr<Runner> RunnerTable::find(uint64_t fingerprint) const {
  const auto found = by_fingerprint_.find(fingerprint);
  return found == by_fingerprint_.end() ? nullptr : found->second;
}

bool RunnerTable::isCopySource(uint64_t source, uint64_t target, int64_t now_ms) const {
  const auto runner = find(source);
  const auto copier = find(target);
  const bool fits = !copier || (runner && runner->entry.version() == copier->entry.version());
  return runner && fits && !isAvoided(*runner, now_ms);
}

OwnedRunner RunnerTable::ownedRunner(uint64_t fingerprint, int64_t now_ms) const {
  const auto runner = find(fingerprint);
  if (!runner) {
    return OwnedRunner{};
  }
  const v1::RunnerEntry& entry = runner->entry;
  const bool plain = entry.slots() != 0 && plain_services_.contains(entry.service());
  return OwnedRunner{.reported_load = runner->load(),
                     .listed = true,
                     .evacuated = runner->evacuated,
                     .cold_ms = coldMs(*runner, now_ms),
                     .cold_pace = cold_runners_.paceLimitFor(entry.service()),
                     .service = entry.service(),
                     .work_time_factor = workTimeFactor(*runner, now_ms),
                     .plain = plain ? std::optional(PlainRunner{.service = entry.service(),
                                                                .slots = entry.slots()})
                                    : std::nullopt};
}

void RunnerTable::setPlainServices(const std::vector<Service>& services) {
  plain_services_.clear();
  for (const Service& service : services) {
    if (options_.policy.service_times && !service.model_engine) {
      plain_services_.insert(service.name);
    }
  }
}

bool RunnerTable::isFailing(const Runner& runner, int64_t now_ms) const {
  const auto service = services_.find(runner.entry.service());
  if (service == services_.end()) {
    return false;
  }
  const auto failing = findFailingRunners(service->second.runners, now_ms);
  return std::find(failing.begin(), failing.end(), &runner) != failing.end();
}

std::vector<std::shared_ptr<Runner>> RunnerTable::runnersOf(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? Candidates() : found->second.runners;
}

std::shared_ptr<Runner> RunnerTable::heardLastOutside(const std::string& service) const {
  std::shared_ptr<Runner> last;
  for (const auto& runner : runners_) {
    const bool outside = runner->entry.service() != service;
    if (outside && (!last || runner->last_heard_ms > last->last_heard_ms)) {
      last = runner;
    }
  }
  return last;
}

void RunnerTable::recordProcessEnded(uint64_t fingerprint, int64_t now_ms) const {
  if (const auto runner = find(fingerprint)) {
    runner->process_ended_ms = now_ms;
    cold_runners_.recordProcessStart(*runner, now_ms);
  }
}

void RunnerTable::setPathLost(const std::string& service, bool lost) {
  ServiceRunners& runners = services_[service];
  runners.path_lost = lost;
  for (const auto& runner : runners.runners) {
    runner->failures_in_row = 0;
    runner->avoid_until_ms = 0;
  }
}

void RunnerTable::endAttempt(Runner& runner, AttemptOutcome outcome, int64_t now_ms) const {
  if (runner.in_progress > 0) {
    --runner.in_progress;
  }
  if (!options_.policy.hold_downs) {
    return;
  }
  switch (outcome) {
  case AttemptOutcome::Succeeded:
    runner.failure_rate *= 1 - kNewestWeight;
    runner.failures_in_row = 0;
    break;
  case AttemptOutcome::Refused:
    runner.full_until_ms =
        now_ms + (2 * runner.load() < runner.entry.slots() ? kFullWhileIdleMs : kFullMs);
    break;
  case AttemptOutcome::Misdirected:
    runner.avoid_until_ms = now_ms + kAvoidMisdirectedMs;
    break;
  case AttemptOutcome::ProcessGone:
  case AttemptOutcome::Unreachable:
    ++runner.failures_in_row;
    runner.failed_ms = now_ms;
    runner.avoid_until_ms = now_ms + holdDownMs(kAvoidUnreachableMs, runner.failures_in_row);
    break;
  case AttemptOutcome::Failed:
    runner.failure_rate = runner.failure_rate * (1 - kNewestWeight) + kNewestWeight;
    ++runner.failures_in_row;
    runner.failed_ms = now_ms;
    if (runner.failures_in_row >= kFailuresToAvoid) {
      runner.avoid_until_ms =
          now_ms + holdDownMs(kAvoidFailingMs, runner.failures_in_row - kFailuresToAvoid + 1);
    }
    break;
  case AttemptOutcome::Abandoned:
  case AttemptOutcome::Withdrawn:
    break;
  }
}

} // namespace workshatch::relay

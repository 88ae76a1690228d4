/// @file
/// The back ends that a relay knows, how loaded and how trustworthy each is, and the choice of one.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "core/relay/cold_runners.h"
#include "core/relay/home_regions.h"
#include "core/relay/placement.h"
#include "core/relay/policy.h"
#include "core/relay/prefix_sources.h"
#include "core/relay/rollout_gate.h"
#include "core/relay/runner.h"
#include "core/relay/runner_backoffs.h"
#include "core/relay/runner_notice.h"
#include "core/relay/slot_limits.h"
#include "core/relay/slot_owner.h"
#include "core/result.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// How an attempt at a runner ended.
enum class AttemptOutcome {
  Succeeded,
  /// The runner said that it did not run the request, being full.
  Refused,
  /// Another runner has the address.
  Misdirected,
  /// No connection could be made.
  Unreachable,
  /// The runner's machine refused the connection: its process is gone.
  ProcessGone,
  /// Not sent, since the runner was withdrawn while a connection was made; says nothing of it.
  Withdrawn,
  /// Broken off, spoilt, or a failure of the runner's own.
  Failed,
  /// Ended from our side (the caller left, a time limit); says nothing of the runner.
  Abandoned,
};

/// What the choice of a runner depends on.
struct RunnerRequest {
  std::string service;
  /// Fingerprint of the shared part of the prompt; zero: no runner is preferred.
  uint64_t cache_key = 0;
  /// Fingerprint of the shared part before it; zero: none.
  uint64_t parent_key = 0;
  std::string zone;
  /// Runners that were tried already.
  std::vector<std::string> excluded;
  int64_t now_ms = 0;
  /// The service's runners are model engines.
  bool engine = false;
  /// Regions in which it may run.
  HomeRegions home_regions;
  /// Its draw also breaks ties.
  RequestRank rank;
  /// It asked before and waited; counts once in what is asked of the service.
  bool already_counted = false;
  /// Goes to a full runner rather than to none, as the rest of a stream that broke does.
  bool ignores_limits = false;
  /// Owners count the places of runners, and are asked for one.
  bool uses_slot_owners = false;
  /// Owners that gave no place so far.
  size_t refused_slots = 0;
  /// It is one of those that a version on trial gets.
  bool trial = false;
};

struct RunnerChoice {
  std::shared_ptr<Runner> runner;
  /// Candidates ranked before it that were passed over, being loaded or avoided.
  uint32_t passed_over = 0;
  /// All candidates were being avoided.
  bool last_resort = false;
  /// Where owners are asked: requests in progress there, this one included, up to which a place is
  /// taken.
  uint32_t limit = 0;
};

/// Why there is no choice.
enum class NoRunner {
  /// The service has no runner that was not tried yet.
  NoneLeft,
  /// All runners are as full as they may be for this request.
  AllFull,
  /// All that are left asked this relay for a backoff.
  AllBackingOff,
};

/// Rules of the choice.
struct RunnerTableOptions {
  /// No runner is given more than this multiple of its service's mean load, plus `cap_slack`: one
  /// less than the operators' bound, for what other relays send before their loads are known here.
  double cap_factor = 2;
  double cap_slack = 2;
  /// Sums of the other relays' loads count for this long.
  int64_t load_totals_valid_ms = 2500;
  /// A runner with attempts in progress that sends nothing for so long is avoided: a model engine,
  /// which sends events all the time, and any other.
  int64_t silent_engine_ms = 500;
  int64_t silent_service_ms = 1000;
  /// What other relays tell of a runner counts for this long.
  int64_t suspicion_ms = 600;
  /// A runner is left for the next in a part's ranking when its load is over `leave_factor` times
  /// the mean plus `leave_slack`.
  double leave_factor = 1.3;
  double leave_slack = 6;
  SlotLimitOptions places;
  PlacementOptions placement;
  /// Bound on the requests of a second at a cold runner: a multiple of what it bears, plus a slack.
  double cold_factor = 1.5;
  double cold_slack = 5;
  /// Empty: requests may run in any region.
  ZoneRegions zones;
  /// As `cap_slack`, where owners count the load: nothing has to be left for what is not known yet.
  double owner_cap_slack = 3;
  Policy policy;
  /// A service counts as busy over this part of its places. With what is kept for the more urgent,
  /// few of the rest are free then.
  double busy_fraction = 0.85;
  /// Part of a service's requests that a version on trial gets.
  double trial_share = 0;
  /// Runners that a part of a prompt may be on while the service is busy.
  size_t busy_homes = 3;
};

/// The runners of all services. Not safe for concurrent use.
class RunnerTable {
public:
  explicit RunnerTable(RunnerTableOptions options)
      : options_(std::move(options)), cold_runners_(options_.cold_factor, options_.cold_slack),
        rollouts_(options_.trial_share) {}

  /// Takes what the configuration says of cold runners.
  void setServices(const std::vector<Service>& services) {
    cold_runners_.setServices(options_.policy.cold_pace ? services : std::vector<Service>());
  }

  /// Replaces the zones that are evacuated. Runners of a zone that is taken back may be cold.
  void setEvacuations(const v1::EvacuationList& evacuations, int64_t now_ms);
  uint64_t evacuationVersion() const { return evacuation_version_; }

  /// The rollouts, and the trials that this relay has earned for them.
  RolloutGate& rollouts() { return rollouts_; }
  const RolloutGate& rollouts() const { return rollouts_; }
  /// @return whether rollouts let a request go to the runner; `trial` as in `RunnerRequest`.
  bool isAdmittedByRollout(const Runner& runner, bool trial) const;
  /// @return requests of this relay in progress at runners that the rollout moves away from.
  uint32_t inProgressAtFormer(const v1::Rollout& rollout) const;

  /// Replaces the list; what is known of runners that stay is kept.
  void setList(const v1::RunnerList& list, int64_t now_ms);
  /// Takes what differs from the list in use: a change of a few runners costs little in a fleet of
  /// thousands. @return an error when the update is damaged or for another list.
  Result<std::monostate> applyUpdate(const v1::RunnerListUpdate& update, int64_t now_ms);
  /// Entries read from lists and updates since the start.
  uint64_t entriesApplied() const { return entries_applied_; }
  uint64_t listVersion() const { return list_version_; }
  uint64_t listFingerprint() const { return list_fingerprint_; }
  /// The list in use.
  v1::RunnerList list() const;

  /// Takes the sums over all relays, this one included, for the list that they name.
  /// @param reported what this relay had reported itself when the sums were made
  void setLoadTotals(const v1::RunnerLoads& sums, const v1::RunnerLoads& reported, int64_t now_ms);

  /// This relay's attempts in progress and the runners that do not answer it, by position in the
  /// list.
  v1::RunnerLoads ownLoads(int64_t now_ms) const;

  /// Notes how many relays send requests to these runners.
  void setRelays(size_t relays) { relays_ = relays == 0 ? 1 : relays; }

  /// @return whether the runner itself wants no requests from this relay.
  static bool isBackingOff(const Runner& runner, int64_t now_ms) {
    return runner.backoff.time.isActive(now_ms);
  }
  /// @return milliseconds until the first of the service's runners that asked for a backoff wants
  /// requests again; zero: none asked for one.
  int64_t backoffLeftMs(const std::string& service, int64_t now_ms) const;

  std::variant<RunnerChoice, NoRunner> choose(const RunnerRequest& request);
  /// @return milliseconds since the sums of loads came; -1: none count.
  int64_t loadTotalsAgeMs(int64_t now_ms) const {
    return totals_received_ms_ == 0 ? -1 : now_ms - totals_received_ms_;
  }

  /// @return another runner that likely keeps parts of the prompt which the chosen one lacks, by
  /// what this relay sent and by the ranking; null: none. Before `recordSent`.
  std::shared_ptr<Runner> likelyPrefixSource(const RunnerRequest& request,
                                             const Runner& chosen) const;

  /// Notes that the request goes to the runner chosen, which then has its shared parts.
  void recordSent(const RunnerRequest& request, const RunnerChoice& choice);

  /// @return the runner with this fingerprint; null: none is listed.
  std::shared_ptr<Runner> find(uint64_t fingerprint) const;
  /// @return whether the runner is listed and answers, so that parts can be copied from it.
  bool isCopySource(uint64_t fingerprint, int64_t now_ms) const;

  /// @return whether the regions of a request let it run at, or copy from, the runner.
  bool isHome(const HomeRegions& regions, const Runner& runner) const {
    return options_.zones.empty() || regions.allow(runner.region);
  }

  /// @return what the owner of the runner with this fingerprint knows of it.
  OwnedRunner ownedRunner(uint64_t fingerprint, int64_t now_ms) const;

  /// Milliseconds for which the runner counts as cold; zero: it does not.
  uint32_t coldMs(const Runner& runner, int64_t now_ms) const {
    return cold_runners_.coldMs(runner, now_ms);
  }
  /// Takes what an answer of the runner says of it and of further requests to it.
  void applyNotice(Runner& runner, const RunnerNotice& notice, int64_t now_ms);
  /// Notes that the runner's owner gives no places there for a while.
  void recordHoldBack(Runner& runner, uint32_t wait_ms, int64_t now_ms) const {
    runner.full_until_ms = std::max(runner.full_until_ms, now_ms + wait_ms);
  }

  /// Notes what an owner told of a runner's load; it counts until the next sums.
  void recordLoad(Runner& runner, uint32_t load) const;

  void beginAttempt(Runner& runner, int64_t now_ms) const;
  /// Notes that bytes came from the runner.
  void recordActivity(Runner& runner, int64_t now_ms) const { runner.last_activity_ms = now_ms; }
  void endAttempt(Runner& runner, AttemptOutcome outcome, int64_t now_ms) const;

  const std::vector<std::shared_ptr<Runner>>& runners() const { return runners_; }

private:
  using Candidates = std::vector<std::shared_ptr<Runner>>;

  void applyEntry(Runner& runner, const v1::RunnerEntry& entry, int64_t now_ms);
  std::shared_ptr<Runner> runnerFor(std::shared_ptr<Runner> known, const v1::RunnerEntry& entry,
                                    int64_t listed_since_ms) const;
  void delist(Runner& runner);
  void updateLists(Candidates added);
  static void removeGone(Candidates& runners);
  static void insertSorted(Candidates& runners, Candidates added);
  /// Runners that a request may go to.
  struct CandidateSet {
    Candidates runners;
    /// All of them are being avoided.
    bool last_resort = false;
    /// Runners that the request may go to but for their backoff.
    size_t backing_off = 0;
  };
  CandidateSet candidatesFor(const RunnerRequest& request) const;
  void keepTrialRunners(const RunnerRequest& request, Candidates& candidates) const;
  uint32_t loadLimitFor(const RunnerRequest& request, const Runner& runner, bool busy) const;
  bool hasFreeSlot(const RunnerRequest& request, const Runner& runner, bool busy) const;
  bool isWithinShare(const RunnerRequest& request, const Runner& runner, uint32_t limit) const;
  double expectedRequestsPerRunner(const std::string& service) const;
  bool isBusy(const Candidates& candidates) const;
  std::optional<RunnerChoice> chooseOffer(const RunnerRequest& request,
                                          const Candidates& candidates, bool by_prompt,
                                          bool busy) const;
  std::optional<RunnerChoice> chooseByLoadTotals(const RunnerRequest& request,
                                                 Candidates candidates, bool by_prompt,
                                                 bool busy) const;
  std::optional<uint32_t> ownerLoadCap(const RunnerRequest& request,
                                       const Candidates& candidates) const;
  RunnerChoice chooseByCache(const RunnerRequest& request, const Candidates& ranked) const;
  RunnerChoice chooseByLoad(const RunnerRequest& request, const Candidates& candidates) const;
  static double meanLoad(const Candidates& candidates);
  double meanForCap(const RunnerRequest& request, const Candidates& candidates) const;
  bool isSilent(const Runner& runner, int64_t now_ms) const;
  bool isAvoided(const Runner& runner, int64_t now_ms) const;
  void dropStaleLoadTotals(int64_t now_ms);

  const RunnerTableOptions options_;
  ColdRunners cold_runners_;
  uint64_t evacuation_version_ = 0;
  std::set<std::string> evacuated_zones_;
  RolloutGate rollouts_;
  uint64_t list_version_ = 0;
  uint64_t list_fingerprint_ = 0;
  uint64_t entries_applied_ = 0;
  /// In the order of the list, which is that of the ids.
  std::vector<std::shared_ptr<Runner>> runners_;
  std::unordered_map<uint64_t, std::shared_ptr<Runner>> by_fingerprint_;
  struct ServiceRunners {
    Candidates runners;
    /// Requests of this relay since the last sums, and between the two before them.
    uint32_t requests_since_totals = 0;
    uint32_t requests_before_totals = 0;
  };
  std::map<std::string, ServiceRunners> services_;
  PrefixSources prefix_sources_;
  RunnerBackoffs backoffs_;
  int64_t totals_received_ms_ = 0;
  size_t relays_ = 1;
};

} // namespace workshatch::relay

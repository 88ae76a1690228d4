/// @file
/// The table of back ends at one relay: their load and health, and the choice of one for a request.
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
#include "core/relay/policy.h"
#include "core/relay/prefix_sources.h"
#include "core/relay/rollout_gate.h"
#include "core/relay/runner.h"
#include "core/relay/runner_backoffs.h"
#include "core/relay/runner_notice.h"
#include "core/result.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/slot_limits.h"
#include "core/scheduling/slot_owner.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// How an attempt at a runner ended.
enum class AttemptOutcome {
  Succeeded,
  /// The runner declined the request because it is full; it did not run it.
  Refused,
  /// The address now belongs to another runner.
  Misdirected,
  /// No connection could be made.
  Unreachable,
  /// The runner's machine refused the connection, so the process is gone.
  ProcessGone,
  /// The request was not sent, because the runner was withdrawn while the connection was being
  /// made. This is no evidence about the runner's health.
  Withdrawn,
  /// The response broke off or was malformed, or the runner reported a failure of its own.
  Failed,
  /// Ended by this side (the caller disconnected, or a time limit passed). This is no evidence
  /// about the runner's health.
  Abandoned,
};

/// Input of the choice of a runner.
struct RunnerRequest {
  std::string service;
  /// Fingerprint of the shared prefix of the prompt; zero: no runner is preferred.
  uint64_t cache_key = 0;
  /// Fingerprint of the next shorter shared prefix; zero: none.
  uint64_t parent_key = 0;
  std::string zone;
  /// Ids of runners that were tried already.
  std::vector<std::string> excluded;
  /// Addresses at which a runner has received the request. The list may name a process under two
  /// ids.
  std::vector<std::string> excluded_addresses;
  int64_t now_ms = 0;
  /// The runners of the service are model engines.
  bool engine = false;
  /// Regions in which the request may run.
  HomeRegions home_regions;
  /// Its draw also breaks ties between runners.
  RequestRank rank;
  /// An earlier choice already counted this request, so that it is counted only once in the
  /// requests of the service.
  bool already_counted = false;
  /// The request may go to a full runner if there is no other. Set for resuming a broken stream.
  bool ignores_limits = false;
  /// Slot owners count the load of runners, and one is asked for a slot.
  bool uses_slot_owners = false;
  /// Number of slot owners that have refused the request so far.
  size_t refused_slots = 0;
  /// What the request needs at a model engine, and when it is due.
  RequestDemand demand;
  /// Capacity of the KV cache of the service's engines in tokens; zero: not configured.
  uint64_t kv_capacity_tokens = 0;
  /// The request is one of those that go to a version on trial.
  bool trial = false;
  /// Version of the runner that began the stream which the request resumes: other runners must not
  /// go on with it. Empty: any version.
  std::optional<std::string> version;
  /// The request may begin an attempt of a stream that callers can resume, the first or a later
  /// one, so that the runner's version must serve.
  bool begins_resumable_stream = false;
  /// Limit of the expected time of a plain request in milliseconds, as in `PlacementQuery`.
  uint32_t start_within_ms = 0;
  /// Fingerprints of the runners where, by the answers of their slot owners, the request would be
  /// late or is likely to fail.
  std::vector<uint64_t> unsuitable;
};

struct RunnerChoice {
  std::shared_ptr<Runner> runner;
  /// Number of candidates ranked before it that were passed over because they were loaded or
  /// avoided.
  uint32_t passed_over = 0;
  /// All candidates are being avoided, so that one of them is used all the same.
  bool last_resort = false;
  /// Where slot owners are used: highest number of requests in progress there, this one included,
  /// with which a slot may be granted.
  uint32_t limit = 0;
  /// Where slot owners are used: further limits with which the slot may be granted to a prompt.
  PromptLimits prompt_limits;
  /// Where slot owners are used: limit of the expected time of a plain request, in milliseconds; 0:
  /// no limit.
  uint32_t start_within_ms = 0;
};

/// What a relay knows about the runners of one service as a whole.
struct ServiceEvidence {
  uint32_t runners = 0;
  /// Runners that the relay avoids because of what it observed itself, and only because of reports
  /// of other relays.
  uint32_t avoided_by_own = 0;
  uint32_t avoided_by_reports = 0;
  /// Milliseconds since any of the runners was heard; -1: none ever was.
  int64_t heard_ago_ms = -1;
};

/// Why no runner was chosen.
enum class NoRunner {
  /// The service has no usable runner that was not tried yet.
  NoneLeft,
  /// All runners are at their load limit for this request.
  AllFull,
  /// All remaining runners requested a backoff from this relay.
  AllBackingOff,
};

/// Parameters of the choice of a runner.
struct RunnerTableOptions {
  /// No runner gets more than `cap_factor` times the mean load of its service plus `cap_slack`. The
  /// slack is one less than the operators' bound, to allow for requests of other relays that are
  /// not known here yet.
  double cap_factor = 2;
  double cap_slack = 2;
  /// Time for which load totals of the other relays are valid.
  int64_t load_totals_valid_ms = 2500;
  /// A runner with attempts in progress that sends nothing for this time is avoided. Model engines
  /// have a time of their own, because they send events continuously.
  int64_t silent_engine_ms = 500;
  int64_t silent_service_ms = 1000;
  /// If a smaller share of a service's runners is neither avoided nor suspected by other relays,
  /// the suspicions are ignored.
  double min_unreported_share = 0.5;
  /// Time for which a runner that other relays suspect is avoided.
  int64_t suspicion_ms = 600;
  /// A prompt goes to the next runner in the ranking of its prefix if the load of a runner is over
  /// `spill_factor` times the mean load plus `spill_slack`.
  double spill_factor = 1.3;
  double spill_slack = 6;
  SlotLimitOptions slot_limits;
  PlacementOptions placement;
  /// Limit on the requests per second to a cold runner: a multiple of its sustainable rate, plus a
  /// slack.
  double cold_factor = 1.5;
  double cold_slack = 5;
  /// Regions of the zones. If empty, requests may run in any region.
  ZoneRegions zones;
  /// Like `cap_slack`, where slot owners count the load. An owner knows the whole load, so that no
  /// allowance is needed.
  double owner_cap_slack = 3;
  Policy policy;
  /// A service is busy while more than this fraction of its slots is in use. Part of the remaining
  /// slots is reserved for more urgent requests, so that few of them are free then.
  double busy_fraction = 0.85;
  /// Fraction of the requests of a service that a version on trial gets.
  double trial_share = 0;
  /// Number of runners that prompts with the same prefix may use while the service is busy.
  size_t busy_homes = 3;
};

/// The runners of all services at one relay. Times are milliseconds of the monotonic clock. Not
/// safe for concurrent use.
class RunnerTable {
public:
  explicit RunnerTable(RunnerTableOptions options)
      : options_(std::move(options)), cold_runners_(options_.cold_factor, options_.cold_slack),
        rollouts_(options_.trial_share) {}

  /// Sets the limits for cold runners, and which services are plain, from the configuration.
  void setServices(const std::vector<Service>& services) {
    cold_runners_.setServices(options_.policy.cold_pace ? services : std::vector<Service>());
    setPlainServices(services);
  }

  /// Replaces the list of served versions.
  void setServedVersions(const v1::ServedVersionList& served);
  /// Version zero: none was received, so that streams begin at any runner.
  const v1::ServedVersionList& servedVersions() const { return served_versions_; }

  /// Replaces the list of evacuated zones. Runners of a zone that is no longer evacuated may be
  /// cold.
  void setEvacuations(const v1::EvacuationList& evacuations, int64_t now_ms);
  uint64_t evacuationVersion() const { return evacuation_version_; }

  /// The rollouts, and this relay's budget of trial requests for them.
  RolloutGate& rollouts() { return rollouts_; }
  const RolloutGate& rollouts() const { return rollouts_; }
  /// @return whether the rollouts allow a request to go to the runner.
  /// @param trial as in `RunnerRequest`
  /// @param resumes the request resumes a stream that a runner of this version began
  bool isAdmittedByRollout(const Runner& runner, bool trial, bool resumes) const;
  /// @return number of requests of this relay in progress at runners of versions that the rollout
  /// replaces.
  uint32_t inProgressAtFormer(const v1::Rollout& rollout) const;

  /// Replaces the list. The state of runners that stay in the list is kept.
  void setList(const v1::RunnerList& list, int64_t now_ms);
  /// Applies an update to the present list. The cost of an update of a few runners stays low in a
  /// fleet of thousands.
  /// @return an error when the update is damaged or based on another list.
  Result<std::monostate> applyUpdate(const v1::RunnerListUpdate& update, int64_t now_ms);
  /// Number of entries read from lists and updates since the start.
  uint64_t entriesApplied() const { return entries_applied_; }
  uint64_t listVersion() const { return list_version_; }
  uint64_t listFingerprint() const { return list_fingerprint_; }
  /// @return the present list.
  v1::RunnerList list() const;

  /// Sets the load totals over all relays, this one included. Totals of another list version are
  /// ignored.
  /// @param reported the loads that this relay itself had reported when the totals were made
  void setLoadTotals(const v1::RunnerLoads& totals, const v1::RunnerLoads& reported,
                     int64_t now_ms);

  /// @return this relay's attempts in progress, and the runners that do not answer it, by position
  /// in the list.
  v1::RunnerLoads ownLoads(int64_t now_ms) const;

  /// Sets how many relays send requests to these runners.
  void setRelays(size_t relays) { relays_ = relays == 0 ? 1 : relays; }

  /// @return whether the runner requested a backoff from this relay that is still in force.
  static bool isBackingOff(const Runner& runner, int64_t now_ms) {
    return runner.backoff.time.isActive(now_ms);
  }
  /// @return milliseconds until the earliest backoff of the service's runners ends; zero: none
  /// requested one.
  int64_t backoffLeftMs(const std::string& service, int64_t now_ms) const;

  /// Chooses a runner and counts the request among those of its service, unless it was counted
  /// already.
  /// @return the runner, or the reason why there is none.
  std::variant<RunnerChoice, NoRunner> choose(const RunnerRequest& request);
  /// @return age of the load totals in milliseconds; -1: there are no valid ones.
  int64_t loadTotalsAgeMs(int64_t now_ms) const {
    return totals_received_ms_ == 0 ? -1 : now_ms - totals_received_ms_;
  }

  /// @return another runner that likely has a longer prefix of the prompt cached than the chosen
  /// one, judged by what this relay sent and by the ranking; null: none. To be called before
  /// `recordSent`.
  std::shared_ptr<Runner> likelyPrefixSource(const RunnerRequest& request,
                                             const Runner& chosen) const;

  /// Records that the request goes to the chosen runner, which will have its prefixes cached then.
  void recordSent(const RunnerRequest& request, const RunnerChoice& choice);

  /// @return the listed runner with this fingerprint; null: none.
  std::shared_ptr<Runner> find(uint64_t fingerprint) const;
  /// @return whether the runner `source` is listed and not avoided, so that the runner `target` can
  /// copy cached prefixes from it. If both are listed, they must have the same version.
  bool isCopySource(uint64_t source, uint64_t target, int64_t now_ms) const;

  /// @return whether the allowed regions of a request include the runner, for running there or
  /// copying from there.
  bool isHome(const HomeRegions& regions, const Runner& runner) const {
    return options_.zones.empty() || regions.allow(runner.region);
  }

  /// @return what this relay, as the slot owner of the runner with this fingerprint, knows about
  /// it.
  OwnedRunner ownedRunner(uint64_t fingerprint, int64_t now_ms) const;

  /// @return milliseconds for which the runner is still cold; zero: it is not.
  uint32_t coldMs(const Runner& runner, int64_t now_ms) const {
    return cold_runners_.coldMs(runner, now_ms);
  }
  /// @return whether the runner fails so many more requests than the others of its service that
  /// requests avoid it (core/scheduling/service_reports.h).
  bool isFailing(const Runner& runner, int64_t now_ms) const;
  /// Applies what a response of the runner says about the runner's state and about further requests
  /// to it.
  void applyNotice(Runner& runner, const RunnerNotice& notice, int64_t now_ms);
  /// @return the number of requests that a runner of the service can decline within a second before
  /// its process fails; empty: the runners state none.
  std::optional<uint32_t> maxDeclines(const std::string& service, int64_t now_ms) const;
  /// Records that the runner's owner grants no slots there for `wait_ms`.
  void recordHoldBack(Runner& runner, uint32_t wait_ms, int64_t now_ms) const {
    runner.full_until_ms = std::max(runner.full_until_ms, now_ms + wait_ms);
  }

  /// Records the load of a runner as its owner reported it. It is valid until the next load totals.
  void recordLoad(Runner& runner, uint32_t load) const;

  void beginAttempt(Runner& runner, int64_t now_ms) const;
  /// Records that bytes were received from the runner.
  void recordActivity(Runner& runner, int64_t now_ms) const {
    runner.last_activity_ms = now_ms;
    recordHeard(runner, now_ms);
  }
  /// Records that the runner sent something or accepted a connection.
  void recordHeard(Runner& runner, int64_t now_ms) const { runner.last_heard_ms = now_ms; }
  /// @return what this relay knows about the runners of the service.
  ServiceEvidence evidenceOf(const std::string& service, int64_t now_ms) const;
  void endAttempt(Runner& runner, AttemptOutcome outcome, int64_t now_ms) const;

  const std::vector<std::shared_ptr<Runner>>& runners() const { return runners_; }
  /// @return the listed runners of the service.
  std::vector<std::shared_ptr<Runner>> runnersOf(const std::string& service) const;
  /// @return the listed runner of any other service that was heard last; null: there is none.
  std::shared_ptr<Runner> heardLastOutside(const std::string& service) const;
  /// Records that a runner's process has ended: the one that replaces it starts cold.
  void recordProcessEnded(uint64_t fingerprint, int64_t now_ms) const;
  /// Sets whether this relay has lost its network path to the runners of the service. The failures
  /// of its attempts say nothing about them then, and are forgotten.
  void setPathLost(const std::string& service, bool lost);

private:
  using Candidates = std::vector<std::shared_ptr<Runner>>;

  void setPlainServices(const std::vector<Service>& services);
  void applyEntry(Runner& runner, const v1::RunnerEntry& entry, int64_t now_ms);
  bool mayServe(const RunnerRequest& request, const Runner& runner,
                const v1::Rollout* rollout) const;
  std::shared_ptr<Runner> runnerFor(std::shared_ptr<Runner> known, const v1::RunnerEntry& entry,
                                    int64_t listed_since_ms) const;
  void delist(Runner& runner);
  void updateLists(Candidates added);
  static void removeGone(Candidates& runners);
  static void insertSorted(Candidates& runners, Candidates added);
  /// Candidates for a request.
  struct CandidateSet {
    Candidates runners;
    /// All `runners` are being avoided.
    bool last_resort = false;
    /// Number of runners that are left out only because of their backoff.
    size_t backing_off = 0;
  };
  CandidateSet candidatesFor(const RunnerRequest& request) const;
  void keepTrialRunners(const RunnerRequest& request, Candidates& candidates) const;
  uint32_t loadLimitFor(const RunnerRequest& request, const Runner& runner, bool busy) const;
  bool hasFreeSlot(const RunnerRequest& request, const Runner& runner, bool busy) const;
  bool isWithinShare(const RunnerRequest& request, const Runner& runner, uint32_t limit) const;
  double expectedRequestsPerRunner(const std::string& service) const;
  bool isBusy(const Candidates& candidates) const;
  void limitToSlots(const RunnerRequest& request, RunnerChoice& choice) const;
  std::optional<RunnerChoice> chooseOffer(const RunnerRequest& request,
                                          const Candidates& candidates, bool by_prompt,
                                          bool busy) const;
  std::optional<RunnerChoice> chooseByLoadTotals(const RunnerRequest& request,
                                                 Candidates candidates, bool by_prompt,
                                                 bool busy) const;
  PromptLimits promptLimitsOf(const RunnerRequest& request) const;
  std::optional<uint32_t> ownerLoadCap(const RunnerRequest& request,
                                       const Candidates& candidates) const;
  RunnerChoice chooseByCache(const RunnerRequest& request, const Candidates& ranked) const;
  RunnerChoice chooseByLoad(const RunnerRequest& request, const Candidates& candidates) const;
  static double meanLoad(const Candidates& candidates);
  double meanForCap(const RunnerRequest& request, const Candidates& candidates) const;
  bool isSuspect(const Runner& runner, int64_t now_ms) const;
  bool isHeard(const Runner& runner, int64_t now_ms) const;
  int64_t silenceLimitMs(const Runner& runner) const;
  bool isSilent(const Runner& runner, int64_t now_ms) const;
  bool isAvoided(const Runner& runner, int64_t now_ms) const;
  bool isAvoidedByOwn(const Runner& runner, int64_t now_ms) const;
  void dropStaleLoadTotals(int64_t now_ms);

  const RunnerTableOptions options_;
  ColdRunners cold_runners_;
  /// Services whose runners are measured by their slot owners.
  std::set<std::string> plain_services_;
  uint64_t evacuation_version_ = 0;
  bool beginsNoStreams(const v1::RunnerEntry& entry) const;

  std::set<std::string> evacuated_zones_;
  v1::ServedVersionList served_versions_;
  RolloutGate rollouts_;
  uint64_t list_version_ = 0;
  uint64_t list_fingerprint_ = 0;
  uint64_t entries_applied_ = 0;
  /// Sorted by id, as the list is.
  std::vector<std::shared_ptr<Runner>> runners_;
  std::unordered_map<uint64_t, std::shared_ptr<Runner>> by_fingerprint_;
  struct ServiceRunners {
    Candidates runners;
    /// Their processes fail if they decline more than `max_declines` requests within a second, as
    /// they said themselves; until this time if none of them repeats it.
    int64_t brittle_until_ms = 0;
    uint32_t max_declines = 0;
    /// This relay has no network path to them.
    bool path_lost = false;
    /// Requests of this relay since the last load totals, and between those and the ones before.
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

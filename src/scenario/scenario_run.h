/// @file
/// Executes the commands of a scenario in order and checks the invariants at the end.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "adapters/rpc/operator_client.h"
#include "ports/seeded_random.h"
#include "scenario/fleet.h"
#include "scenario/invariants.h"
#include "scenario/load_cap_sampler.h"
#include "scenario/load_generator.h"
#include "scenario/operator_load.h"
#include "scenario/script.h"

namespace workshatch::scenario {

struct RunOptions {
  /// Folder of the executables.
  std::string programs;
  /// Parent folder; each scenario uses a subfolder with the name of its file.
  std::string folder;
  uint64_t seed = 1;
  /// Declares all routes repeatable. The run-once check must fail then, which shows that it works.
  bool all_routes_repeatable = false;
};

struct ScenarioResult {
  bool passed = false;
  /// The failed command and its error, or the counts and the violated invariants.
  std::string summary;
};

/// One run of a scenario. Waits poll for a condition; their timeout is so long that only a fault
/// reaches it. Not safe for concurrent use.
class ScenarioRun {
public:
  ScenarioRun(const Script& script, RunOptions options);
  ~ScenarioRun();

  ScenarioResult run();

private:
  using Outcome = Result<std::monostate>;
  using Handler = Outcome (ScenarioRun::*)(const Command&);

  Outcome runFleet(const Command& command);
  Outcome runStart(const Command& command);
  Outcome runKill(const Command& command);
  Outcome runFreeze(const Command& command);
  Outcome runThaw(const Command& command);
  Outcome runStop(const Command& command);
  Outcome runWipe(const Command& command);
  Outcome runDisk(const Command& command);
  Outcome runPress(const Command& command);
  Outcome runCut(const Command& command);
  Outcome runHeal(const Command& command);
  Outcome runFault(const Command& command);
  Outcome runPlatform(const Command& command);
  Outcome runApply(const Command& command);
  Outcome runRace(const Command& command);
  Outcome runDrain(const Command& command);
  Outcome runReplace(const Command& command);
  Outcome runLoad(const Command& command);
  Outcome runWait(const Command& command);
  Outcome runExpect(const Command& command);
  Outcome runDamage(const Command& command);
  Outcome runWatchCap(const Command& command);
  Outcome runWatchFootprint(const Command& command);

  Outcome execute(const Command& command);
  /// Polls `condition` until it holds.
  /// @param what condition as named in the error after a timeout
  Outcome waitFor(const std::string& what, const std::function<bool()>& condition);
  /// Waits until exactly `routers` routers are registered, all are active with the latest revision,
  /// and the current view is settled.
  Outcome waitRoutersReady(size_t routers);
  /// Waits until a load has made `answers` attempts or has finished. Zero: until it has finished.
  Outcome waitLoad(const std::string& name, size_t answers);
  Outcome waitLeader(const std::string& other_than);
  /// @return the names of the processes that the arguments of a command select.
  Result<std::vector<std::string>> resolveTargets(const Command& command);
  /// @param word process name, "leader", "last", "some-router" or "some-control"
  Result<std::string> resolveName(const std::string& word);
  /// Calls `action` for each process that the command selects; stops at the first error.
  Outcome forEachTarget(const Command& command,
                        const std::function<Outcome(const std::string&)>& action);
  /// Reads the status from the leader and records the replica ids in it.
  std::optional<v1::StatusReply> readStatus();
  /// @return the name of the leader, or an empty text if there is none.
  std::string leaderName();
  std::unique_ptr<rpc::OperatorClient> operatorClient(int64_t timeout_ms) const;
  /// Sends one configuration change.
  /// @param expected expected result: "accepted", "pending" or "conflict"
  Outcome applyOnce(const v1::ApplyRequest& request, const std::string& expected);
  LoadGenerator* findLoad(const std::string& name);
  InvariantReport evaluateInvariants() const;
  Outcome expectWrongToken();
  Outcome expectCap(const Command& command);
  Outcome expectSlower(const Command& command);
  Outcome expectNoNewRuns(const Command& command);
  Outcome expectCount(const Command& command, uint64_t counted);
  Outcome expectNoCallTimedOut();
  Outcome expectFootprint();
  static std::string describeLosses(const LoadGenerator& load);

  const Script& script_;
  const RunOptions options_;
  SeededRandom random_;
  std::unique_ptr<Fleet> fleet_;
  std::vector<std::unique_ptr<LoadGenerator>> loads_;
  std::unique_ptr<LoadCapSampler> cap_sampler_;
  std::unique_ptr<OperatorLoad> operator_load_;
  /// Resource usage by daemon at the time of the command watch-footprint.
  std::map<std::string, ResourceUsage> initial_usage_;
  std::vector<AcceptedChange> accepted_;
  /// Processes that the scenario has killed, stopped, frozen or cut off, and not restored.
  std::set<std::string> unavailable_;
  /// Processes that were started at least once.
  std::set<std::string> started_;
  /// Daemon to which "leader", "some-router" or "some-control" resolved last; the meaning of
  /// "last".
  std::string last_named_daemon_;
  /// Number of the latest configuration variant; makes configurations and request ids unique.
  uint64_t variant_ = 0;
  /// Figures that expect commands measured, for the summary.
  std::string measurements_;
  /// Raft ids of the control replicas, by daemon.
  std::map<std::string, uint64_t> replica_ids_;
};

} // namespace workshatch::scenario

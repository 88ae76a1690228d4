/// @file
/// Carries out a scenario's commands, one after the other.
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
  std::string programs;
  /// Folder under which each scenario has its own.
  std::string folder;
  uint64_t seed = 1;
  /// Declares all routes repeatable: the counter-test of run-once.
  bool all_routes_repeatable = false;
};

struct ScenarioResult {
  bool passed = false;
  /// Where and why it failed; else what was counted.
  std::string summary;
};

/// One scenario. Waits are on conditions, with limits so generous that only a fault reaches them.
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
  Outcome waitFor(const std::string& what, const std::function<bool()>& condition);
  Outcome waitRoutersReady(size_t routers);
  Outcome waitLoad(const std::string& name, size_t answers);
  Outcome waitLeader(const std::string& other_than);
  Result<std::vector<std::string>> resolveTargets(const Command& command);
  Result<std::string> resolveName(const std::string& word);
  Outcome forEachTarget(const Command& command,
                        const std::function<Outcome(const std::string&)>& action);
  std::optional<v1::StatusReply> readStatus();
  std::string leaderName();
  std::unique_ptr<rpc::OperatorClient> operatorClient(int64_t timeout_ms) const;
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
  /// By daemon, when they were noted.
  std::map<std::string, ResourceUsage> initial_usage_;
  std::vector<AcceptedChange> accepted_;
  /// Daemons that were killed, frozen, stopped or never started.
  std::set<std::string> unavailable_;
  /// Processes that were started once.
  std::set<std::string> started_;
  /// Daemon that "leader" named last.
  std::string last_named_daemon_;
  uint64_t variant_ = 0;
  /// Figures that expectations measured, for the closing line.
  std::string measurements_;
  std::map<std::string, uint64_t> replica_ids_;
};

} // namespace workshatch::scenario

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
#include "scenario/callers.h"
#include "scenario/fleet.h"
#include "scenario/invariants.h"
#include "scenario/load_sampler.h"
#include "scenario/operator_press.h"
#include "scenario/script.h"

namespace workshatch::scenario {

struct RunOptions {
  std::string programs;
  /// Folder under which each scenario has its own.
  std::string folder;
  uint64_t seed = 1;
  /// Declares all routes repeatable: the counter-test of run-once.
  bool without_ledger = false;
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
  Outcome waitReady(size_t routers);
  Outcome waitLoad(const std::string& name, size_t answers);
  Outcome waitLeader(const std::string& other_than);
  Result<std::vector<std::string>> targets(const Command& command);
  Result<std::string> resolveName(const std::string& word);
  Outcome forTargets(const Command& command, const std::function<Outcome(const std::string&)>& use);
  std::optional<v1::StatusReply> readStatus();
  std::string leaderName();
  std::unique_ptr<rpc::OperatorClient> operatorClient(int64_t timeout_ms) const;
  Outcome applyOnce(const v1::ApplyRequest& request, const std::string& expected);
  CallerLoad* findLoad(const std::string& name);
  Verdict verdict() const;
  Outcome expectWrongToken();
  Outcome expectCap(const Command& command);
  Outcome expectSlower(const Command& command);
  Outcome expectNoNewRuns(const Command& command);
  Outcome expectCount(const Command& command, uint64_t counted);
  Outcome expectAllTold();
  Outcome expectFootprint();
  static std::string describeLosses(const CallerLoad& load);

  const Script& script_;
  const RunOptions options_;
  SeededRandom random_;
  std::unique_ptr<Fleet> fleet_;
  std::vector<std::unique_ptr<CallerLoad>> loads_;
  std::unique_ptr<LoadSampler> sampler_;
  std::unique_ptr<OperatorPress> press_;
  /// By daemon, when they were noted.
  std::map<std::string, Footprint> footprints_;
  std::vector<AcceptedChange> accepted_;
  /// Daemons that were killed, frozen, stopped or never started.
  std::set<std::string> absent_;
  /// Processes that were started once.
  std::set<std::string> started_;
  /// Daemon that "leader" named last.
  std::string last_leader_;
  uint64_t variant_ = 0;
  /// Figures that expectations measured, for the closing line.
  std::string notes_;
  std::map<std::string, uint64_t> identities_;
};

} // namespace workshatch::scenario

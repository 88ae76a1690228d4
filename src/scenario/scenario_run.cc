#include "scenario/scenario_run.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <thread>
#include <utility>

#include "scenario/command_options.h"

namespace workshatch::scenario {

namespace {

constexpr std::chrono::milliseconds kPollInterval{20};
constexpr std::chrono::seconds kWaitTimeout{60};

} // namespace

ScenarioRun::ScenarioRun(const Script& script, RunOptions options)
    : script_(script), options_(std::move(options)), random_(options_.seed) {}

ScenarioRun::~ScenarioRun() = default;

ScenarioResult ScenarioRun::run() {
  for (const Command& command : script_.commands) {
    Outcome outcome = Error{"stopped"};
    try {
      outcome = execute(command);
    } catch (const std::exception& error) {
      outcome = Error{std::string("bad value: ") + error.what()};
    }
    if (isError(outcome)) {
      return ScenarioResult{.passed = false,
                            .summary = script_.path + ":" + std::to_string(command.line) + ": " +
                                       command.name + ": " + errorOf(outcome).message};
    }
  }
  InvariantReport report = this->evaluateInvariants();
  for (const std::string& name : fleet_ ? fleet_->names() : std::vector<std::string>()) {
    if (started_.contains(name) && !unavailable_.contains(name) &&
        fleet_->find(name)->hasExited()) {
      report.violations.push_back(name + " ended by itself with exit code " +
                                  std::to_string(fleet_->find(name)->exitCode()));
    }
  }
  const ScenarioCounts& counts = report.counts;
  std::string summary =
      "runs " + std::to_string(counts.runs) + ", completed " + std::to_string(counts.completed) +
      ", not-run " + std::to_string(counts.not_run) + ", unknown " +
      std::to_string(counts.unknown) + ", lost " + std::to_string(counts.lost) + ", chats " +
      std::to_string(counts.chat_turns) + ", decisions " + std::to_string(counts.decisions) +
      ", slowest refusal " + std::to_string(counts.slowest_refusal_ms) + " ms" + measurements_;
  for (const std::string& violation : report.violations) {
    summary += "\n    violated: " + violation;
  }
  return ScenarioResult{.passed = report.violations.empty(), .summary = summary};
}

InvariantReport ScenarioRun::evaluateInvariants() const {
  InvariantInputs inputs;
  for (const auto& load : loads_) {
    inputs.loads.push_back(load.get());
  }
  if (fleet_) {
    inputs.run_logs = fleet_->runLogs();
    for (const std::string& name : fleet_->names()) {
      if (name.starts_with("entry-")) {
        inputs.daemon_logs.push_back(fleet_->logPath(name));
      }
    }
  }
  inputs.accepted = accepted_;
  return checkInvariants(inputs);
}

ScenarioRun::Outcome ScenarioRun::execute(const Command& command) {
  static const std::map<std::string, Handler> handlers = {
      {"fleet", &ScenarioRun::runFleet},
      {"start", &ScenarioRun::runStart},
      {"kill", &ScenarioRun::runKill},
      {"freeze", &ScenarioRun::runFreeze},
      {"thaw", &ScenarioRun::runThaw},
      {"stop", &ScenarioRun::runStop},
      {"wipe-disk", &ScenarioRun::runWipe},
      {"cut", &ScenarioRun::runCut},
      {"heal", &ScenarioRun::runHeal},
      {"fault", &ScenarioRun::runFault},
      {"platform", &ScenarioRun::runPlatform},
      {"apply", &ScenarioRun::runApply},
      {"race", &ScenarioRun::runRace},
      {"drain", &ScenarioRun::runDrain},
      {"replace", &ScenarioRun::runReplace},
      {"load", &ScenarioRun::runLoad},
      {"wait", &ScenarioRun::runWait},
      {"expect", &ScenarioRun::runExpect},
      {"damage-log", &ScenarioRun::runDamage},
      {"watch-cap", &ScenarioRun::runWatchCap},
      {"disk", &ScenarioRun::runDisk},
      {"press", &ScenarioRun::runPress},
      {"watch-footprint", &ScenarioRun::runWatchFootprint},
  };
  const auto found = handlers.find(command.name);
  if (found == handlers.end()) {
    std::string names;
    for (const auto& [name, handler] : handlers) {
      names += " " + name;
    }
    return Error{"no such command; expected one of:" + names};
  }
  if (command.name != "fleet" && !fleet_) {
    return Error{"expected \"fleet\" as the first command"};
  }
  return (this->*found->second)(command);
}

ScenarioRun::Outcome ScenarioRun::waitFor(const std::string& what,
                                          const std::function<bool()>& condition) {
  const auto until = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) {
      return Error{"timed out waiting for " + what};
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return kDone;
}

ScenarioRun::Outcome ScenarioRun::runFleet(const Command& command) {
  FleetPlan plan;
  plan.programs = options_.programs;
  plan.folder = options_.folder + "/" + std::filesystem::path(script_.path).stem().string();
  plan.network = textOption(command, "network", plan.network);
  plan.routers = numberOption(command, "routers", plan.routers);
  plan.controls = numberOption(command, "controls", plan.controls);
  plan.models = numberOption(command, "models", plan.models);
  plan.engines = numberOption(command, "engines", plan.engines);
  plan.services = numberOption(command, "services", plan.services);
  plan.step_ms = numberOption(command, "step_ms", plan.step_ms);
  plan.snapshot_entries = numberOption(command, "snapshot_entries", plan.snapshot_entries);
  plan.engine_limit = numberOption(command, "engine_limit", plan.engine_limit);
  plan.queue_length = numberOption(command, "queue_length", plan.queue_length);
  plan.renew_ms = numberOption(command, "renew_ms", plan.renew_ms);
  plan.non_repeatable_routes = !options_.all_routes_repeatable;
  plan.proxies = textOption(command, "relays", "no") == "yes";
  fleet_ = std::make_unique<Fleet>(plan);
  return fleet_->prepare();
}

std::unique_ptr<rpc::OperatorClient> ScenarioRun::operatorClient(int64_t timeout_ms) const {
  return std::make_unique<rpc::OperatorClient>(fleet_->controlAddresses(), Fleet::kOperatorToken,
                                               timeout_ms);
}

std::optional<v1::StatusReply> ScenarioRun::readStatus() {
  auto status = operatorClient(kStatusTimeoutMs)->status();
  if (isError(status)) {
    return std::nullopt;
  }
  v1::StatusReply& reply = std::get<v1::StatusReply>(status);
  for (const v1::MemberStatus& member : reply.members()) {
    replica_ids_[fleet_->daemonAt(member.member().address())] = member.member().id();
  }
  return std::move(reply);
}

std::string ScenarioRun::leaderName() {
  const auto reply = readStatus();
  if (!reply) {
    return "";
  }
  for (const v1::MemberStatus& member : reply->members()) {
    if (member.member().id() == reply->id()) {
      return fleet_->daemonAt(member.member().address());
    }
  }
  return "";
}

Result<std::string> ScenarioRun::resolveName(const std::string& word) {
  if (word == "last") {
    return last_named_daemon_;
  }
  if (word == "leader") {
    const Outcome found = waitFor("a leader", [this] {
      last_named_daemon_ = leaderName();
      return !last_named_daemon_.empty();
    });
    return isError(found) ? Result<std::string>(errorOf(found))
                          : Result<std::string>(last_named_daemon_);
  }
  if (word == "some-router" || word == "some-control") {
    std::vector<std::string> available;
    for (uint32_t router = 1; router <= fleet_->plan().routers; ++router) {
      const std::string name = "entry-" + std::to_string(router);
      const bool control = router <= fleet_->plan().controls;
      if (!unavailable_.contains(name) && control == (word == "some-control")) {
        available.push_back(name);
      }
    }
    if (available.empty()) {
      return Error{"no daemon of this kind is running"};
    }
    last_named_daemon_ = available[random_.below(available.size())];
    return last_named_daemon_;
  }
  if (fleet_->find(word) == nullptr) {
    return Error{"no process \"" + word +
                 "\"; expected a name, \"leader\", \"last\", "
                 "\"some-router\" or \"some-control\""};
  }
  return word;
}

Result<std::vector<std::string>> ScenarioRun::resolveTargets(const Command& command) {
  std::vector<std::string> names;
  for (const std::string& word : command.arguments) {
    if (word == "all" || word == "daemons") {
      for (const std::string& name : fleet_->names()) {
        if (word == "all" || name.starts_with("entry-")) {
          names.push_back(name);
        }
      }
      continue;
    }
    const auto name = resolveName(word);
    if (isError(name)) {
      return errorOf(name);
    }
    names.push_back(std::get<std::string>(name));
  }
  if (names.empty()) {
    return Error{"expected at least one process"};
  }
  return names;
}

ScenarioRun::Outcome
ScenarioRun::forEachTarget(const Command& command,
                           const std::function<Outcome(const std::string&)>& action) {
  const auto names = resolveTargets(command);
  if (isError(names)) {
    return errorOf(names);
  }
  for (const std::string& name : std::get<std::vector<std::string>>(names)) {
    if (const Outcome outcome = action(name); isError(outcome)) {
      return Error{name + ": " + errorOf(outcome).message};
    }
  }
  return kDone;
}

ScenarioRun::Outcome ScenarioRun::runLoad(const Command& command) {
  if (command.arguments.size() != 2) {
    return Error{"expected a kind (confirm, chat, lookup) and a name"};
  }
  LoadPlan plan;
  plan.kind = command.arguments[0];
  plan.name = command.arguments[1];
  if (plan.kind != "confirm" && plan.kind != "chat" && plan.kind != "lookup") {
    return Error{"no kind \"" + plan.kind + "\"; expected confirm, chat or lookup"};
  }
  plan.tenant = textOption(command, "tenant", plan.tenant);
  plan.count = numberOption(command, "count", plan.count);
  plan.repeat = numberOption(command, "repeat", plan.repeat);
  plan.concurrency = numberOption(command, "concurrency", plan.concurrency);
  plan.tokens = numberOption(command, "tokens", plan.tokens);
  plan.max_attempts = numberOption(command, "tries", plan.max_attempts);
  plan.resolve = textOption(command, "resolve", "no") == "yes";
  plan.pause_ms = numberOption(command, "pause_ms", plan.pause_ms);
  plan.keep_connections = textOption(command, "keep", "no") == "yes";
  loads_.push_back(
      std::make_unique<LoadGenerator>(plan, fleet_->routerAddresses(), random_.next()));
  loads_.back()->start();
  return kDone;
}

LoadGenerator* ScenarioRun::findLoad(const std::string& name) {
  const auto found = std::find_if(loads_.begin(), loads_.end(),
                                  [&](const auto& load) { return load->plan().name == name; });
  return found == loads_.end() ? nullptr : found->get();
}

ScenarioRun::Outcome ScenarioRun::waitRoutersReady(size_t routers) {
  return waitFor(std::to_string(routers) + " active routers", [this, routers] {
    const auto status = readStatus();
    if (!status) {
      return false;
    }
    const v1::StatusReply& reply = *status;
    const auto active = std::count_if(reply.routers().begin(), reply.routers().end(),
                                      [&](const v1::RouterStatus& router) {
                                        return router.router().state() == v1::ROUTER_ACTIVE &&
                                               router.revision_in_force() == reply.revision();
                                      });
    return static_cast<size_t>(active) == routers &&
           static_cast<size_t>(reply.routers_size()) == routers &&
           reply.settled_view() == reply.view_number();
  });
}

ScenarioRun::Outcome ScenarioRun::waitLoad(const std::string& name, size_t answers) {
  LoadGenerator* load = findLoad(name);
  if (load == nullptr) {
    return Error{"no load \"" + name + "\""};
  }
  return waitFor("load " + name, [load, answers] {
    return answers == 0 ? load->finished() : load->attemptCount() >= answers || load->finished();
  });
}

ScenarioRun::Outcome ScenarioRun::waitLeader(const std::string& other_than) {
  return waitFor("a new leader", [&] {
    const std::string name = leaderName();
    return !name.empty() && name != other_than;
  });
}

ScenarioRun::Outcome ScenarioRun::runWait(const Command& command) {
  const std::string what = command.arguments.empty() ? "" : command.arguments[0];
  if (what == "ready") {
    const size_t routers =
        command.arguments.size() > 1 ? std::stoul(command.arguments[1]) : fleet_->plan().routers;
    return waitRoutersReady(routers);
  }
  if (what == "load" && command.arguments.size() == 2) {
    return waitLoad(command.arguments[1], numberOption(command, "answers", 0));
  }
  if (what == "new-leader") {
    return waitLeader(last_named_daemon_);
  }
  if (what == "ended" && command.arguments.size() == 2) {
    Process* process = fleet_->find(command.arguments[1]);
    return process == nullptr ? Outcome(Error{"no such process"})
                              : waitFor("its exit", [process] { return process->hasExited(); });
  }
  return Error{"expected: ready [N], load NAME [answers=N], new-leader, or ended NAME"};
}

} // namespace workshatch::scenario

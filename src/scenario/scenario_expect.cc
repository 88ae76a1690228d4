/// @file
/// Scenario commands that measure (`watch-...`) and check expectations (`expect`).
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

#include "scenario/command_options.h"
#include "scenario/scenario_run.h"

namespace workshatch::scenario {

ScenarioRun::Outcome ScenarioRun::expectCount(const Command& command, uint64_t counted) {
  const uint64_t min_count = numberOption(command, "min", 0);
  const uint64_t max_count = numberOption(command, "max", UINT32_MAX);
  if (counted < min_count || counted > max_count) {
    return Error{"counted " + std::to_string(counted) + ", expected " + std::to_string(min_count) +
                 " to " + std::to_string(max_count)};
  }
  return kDone;
}

/// Describes the first lost responses of a load, one per line.
std::string ScenarioRun::describeLosses(const LoadGenerator& load) {
  constexpr size_t kMaxLines = 40;
  std::string text;
  size_t lines = 0;
  for (const AttemptResult& attempt : load.attempts()) {
    if (attempt.outcome == AttemptOutcome::Lost && lines++ < kMaxLines) {
      text += "\n    lost " + attempt.id + " at " + attempt.address + ", ended " +
              std::to_string(attempt.ended_at_ms) + " ms, after " +
              std::to_string(attempt.duration_ms) + " ms: " + attempt.loss_reason;
    }
  }
  return text;
}

ScenarioRun::Outcome ScenarioRun::runWatchCap(const Command& command) {
  std::vector<std::string> runners;
  for (const std::string& name : fleet_->modelNames()) {
    runners.push_back(fleet_->runnerAddress(name));
  }
  cap_sampler_ = std::make_unique<LoadCapSampler>(std::move(runners),
                                                  std::stod(textOption(command, "factor", "1.25")));
  return kDone;
}

ScenarioRun::Outcome ScenarioRun::runWatchFootprint(const Command& /*command*/) {
  for (const std::string& name : fleet_->names()) {
    const auto usage =
        name.starts_with("entry-") ? fleet_->find(name)->resourceUsage() : std::nullopt;
    if (usage) {
      initial_usage_[name] = *usage;
    }
  }
  return kDone;
}

/// Fails if the memory or the open descriptors of a daemon have grown beyond a limit since
/// `watch-footprint`.
ScenarioRun::Outcome ScenarioRun::expectFootprint() {
  constexpr uint64_t kMaxGrowthFactor = 2;
  constexpr uint64_t kMemorySlackKb = uint64_t{32} * 1024;
  constexpr uint64_t kDescriptorSlack = 64;
  if (initial_usage_.empty()) {
    return Error{"watch-footprint must come first"};
  }
  ResourceUsage peak;
  for (const auto& [name, before] : initial_usage_) {
    const auto now = fleet_->find(name)->resourceUsage();
    if (!now) {
      return Error{name + " is not running or its resource usage cannot be read"};
    }
    if (now->memory_kb > kMaxGrowthFactor * before.memory_kb + kMemorySlackKb) {
      return Error{name + " grew from " + std::to_string(before.memory_kb) + " to " +
                   std::to_string(now->memory_kb) + " kB"};
    }
    if (now->descriptors > kMaxGrowthFactor * before.descriptors + kDescriptorSlack) {
      return Error{name + " grew from " + std::to_string(before.descriptors) + " to " +
                   std::to_string(now->descriptors) + " descriptors"};
    }
    peak.memory_kb = std::max(peak.memory_kb, now->memory_kb);
    peak.descriptors = std::max(peak.descriptors, now->descriptors);
  }
  measurements_ += "; most memory " + std::to_string(peak.memory_kb) + " kB, most descriptors " +
                   std::to_string(peak.descriptors);
  return kDone;
}

ScenarioRun::Outcome ScenarioRun::expectCap(const Command& command) {
  if (!cap_sampler_) {
    return Error{"watch-cap must come first"};
  }
  const CapReport report = cap_sampler_->report();
  measurements_ +=
      "; cap: " + std::to_string(report.over_recent_cap) + " of " + std::to_string(report.samples) +
      " samples over (" + std::to_string(report.over_current_cap) +
      " against the momentary mean), worst max/mean " + std::to_string(report.max_ratio) +
      (report.last_over_cap.empty() ? "" : "; " + report.last_over_cap);
  if (report.samples < numberOption(command, "samples", 1)) {
    return Error{"only " + std::to_string(report.samples) + " samples"};
  }
  if (report.over_recent_cap > numberOption(command, "over", 0)) {
    return Error{measurements_};
  }
  return kDone;
}

/// `expect slower A B factor=F`: the 95th percentile of the time to the first event of load A must
/// be at most F times that of load B.
ScenarioRun::Outcome ScenarioRun::expectSlower(const Command& command) {
  const auto p95 = [this](const std::string& name) -> int64_t {
    std::vector<int64_t> times;
    const LoadGenerator* load = findLoad(name);
    for (const AttemptResult& attempt :
         load == nullptr ? std::vector<AttemptResult>() : load->attempts()) {
      if (attempt.outcome == AttemptOutcome::Completed) {
        times.push_back(attempt.first_event_ms);
      }
    }
    std::sort(times.begin(), times.end());
    return times.empty() ? 0 : times[times.size() * 95 / 100];
  };
  const int64_t first = p95(command.arguments[1]);
  const int64_t second = p95(command.arguments[2]);
  measurements_ += "; first event p95: " + command.arguments[1] + " " + std::to_string(first) +
                   " ms, " + command.arguments[2] + " " + std::to_string(second) + " ms";
  if (second == 0 || first == 0) {
    return Error{"a load has no completed requests"};
  }
  const double factor = std::stod(textOption(command, "factor", "2"));
  if (static_cast<double>(first) > factor * static_cast<double>(second)) {
    return Error{std::to_string(first) + " ms against " + std::to_string(second) + " ms"};
  }
  return kDone;
}

/// `expect no-new-runs RUNNER`: waits `after_ms`, within which routers must notice that the runner
/// is leaving, then for further attempts of a load, and fails if the runner has started a run
/// meanwhile.
ScenarioRun::Outcome ScenarioRun::expectNoNewRuns(const Command& command) {
  const std::string path = options_.folder + "/" +
                           std::filesystem::path(script_.path).stem().string() + "/runs/" +
                           command.arguments[1];
  const auto lines = [&path] {
    std::ifstream in(path);
    return std::count(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>(), '\n');
  };
  LoadGenerator* load = findLoad(textOption(command, "load", ""));
  if (load == nullptr) {
    return Error{"load: expected the name of a load"};
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(numberOption(command, "after_ms", 0)));
  const auto before = lines();
  const size_t answers = load->attemptCount() + numberOption(command, "for_answers", 1);
  if (const Outcome waited = waitLoad(load->plan().name, answers); isError(waited)) {
    return waited;
  }
  const auto after = lines();
  if (after != before) {
    return Error{std::to_string(after - before) + " new runs"};
  }
  return kDone;
}

/// `expect wrong-token`: operator calls with a wrong token must be refused, by the leader too.
ScenarioRun::Outcome ScenarioRun::expectWrongToken() {
  rpc::OperatorClient unauthorized_client(fleet_->controlAddresses(), "not-the-operators-token",
                                          kStatusTimeoutMs);
  const auto status = unauthorized_client.status();
  const bool refused =
      isError(status) && errorOf(status).message.find("refused") != std::string::npos;
  return refused ? Outcome(kDone) : Outcome(Error{"the call was not refused"});
}

ScenarioRun::Outcome ScenarioRun::runExpect(const Command& command) {
  const std::string what = command.arguments.empty() ? "" : command.arguments[0];
  if (what == "log" && command.arguments.size() == 3) {
    std::ifstream in(fleet_->logPath(command.arguments[1]));
    for (std::string line; std::getline(in, line);) {
      if (line.find(command.arguments[2]) != std::string::npos) {
        return kDone;
      }
    }
    return Error{"no log line of " + command.arguments[1] + " contains \"" + command.arguments[2] +
                 "\""};
  }
  if (what == "wrong-token") {
    return expectWrongToken();
  }
  if (what == "all-told") {
    return expectNoCallTimedOut();
  }
  if (what == "footprint") {
    return expectFootprint();
  }
  if (what == "cap") {
    return expectCap(command);
  }
  if (what == "slower" && command.arguments.size() == 3) {
    return expectSlower(command);
  }
  if (what == "no-new-runs" && command.arguments.size() == 2) {
    return expectNoNewRuns(command);
  }
  if (what == "log-size" && command.arguments.size() == 2) {
    std::error_code failure;
    const auto size =
        std::filesystem::file_size(fleet_->dataFolder(command.arguments[1]) + "/raft.log", failure);
    return expectCount(command, size);
  }
  static const std::map<std::string, AttemptOutcome> kinds = {
      {"completed", AttemptOutcome::Completed},
      {"not-run", AttemptOutcome::NotRun},
      {"unknown", AttemptOutcome::Unknown},
      {"lost", AttemptOutcome::Lost}};
  const auto kind = kinds.find(what);
  if (kind == kinds.end() || command.arguments.size() != 2) {
    return Error{"expected: wrong-token, all-told, footprint, no-new-runs RUNNER, completed, "
                 "not-run, unknown or lost "
                 "and a load; "
                 "log NAME TEXT; or "
                 "log-size NAME"};
  }
  LoadGenerator* load = findLoad(command.arguments[1]);
  if (load == nullptr) {
    return Error{"no such load"};
  }
  Outcome outcome = expectCount(command, load->countOf(kind->second));
  if (isError(outcome) && kind->second == AttemptOutcome::Lost) {
    return Error{errorOf(outcome).message + describeLosses(*load)};
  }
  return outcome;
}

} // namespace workshatch::scenario

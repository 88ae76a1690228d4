/// @file
/// Scenario commands that act on processes, network links, disks and stand-ins.
#include <filesystem>
#include <fstream>
#include <iterator>

#include <nlohmann/json.hpp>

#include "adapters/http/blocking_client.h"
#include "scenario/command_options.h"
#include "scenario/scenario_run.h"

namespace workshatch::scenario {

using nlohmann::json;

ScenarioRun::Outcome ScenarioRun::runStart(const Command& command) {
  return forEachTarget(command, [this](const std::string& name) {
    unavailable_.erase(name);
    started_.insert(name);
    return fleet_->find(name)->start();
  });
}

ScenarioRun::Outcome ScenarioRun::runKill(const Command& command) {
  return forEachTarget(command, [this](const std::string& name) -> Outcome {
    unavailable_.insert(name);
    fleet_->find(name)->kill();
    return kDone;
  });
}

ScenarioRun::Outcome ScenarioRun::runFreeze(const Command& command) {
  return forEachTarget(command, [this](const std::string& name) -> Outcome {
    unavailable_.insert(name);
    fleet_->find(name)->freeze();
    return kDone;
  });
}

ScenarioRun::Outcome ScenarioRun::runThaw(const Command& command) {
  return forEachTarget(command, [this](const std::string& name) -> Outcome {
    unavailable_.erase(name);
    fleet_->find(name)->thaw();
    return kDone;
  });
}

/// Stops processes gracefully, waits until they have exited, and expects exit code 0.
ScenarioRun::Outcome ScenarioRun::runStop(const Command& command) {
  return forEachTarget(command, [this](const std::string& name) -> Outcome {
    unavailable_.insert(name);
    Process* process = fleet_->find(name);
    process->requestStop();
    const Outcome ended = waitFor("its exit", [process] { return process->hasExited(); });
    if (!isError(ended) && process->exitCode() != 0) {
      return Error{"exited with code " + std::to_string(process->exitCode())};
    }
    return ended;
  });
}

ScenarioRun::Outcome ScenarioRun::runWipe(const Command& command) {
  return forEachTarget(command, [this](const std::string& name) -> Outcome {
    if (fleet_->find(name)->running()) {
      return Error{"is running; it must be killed or stopped first"};
    }
    std::filesystem::remove_all(fleet_->dataFolder(name));
    return kDone;
  });
}

/// Simulates a full disk for a running daemon by limiting its file size to that of its log, or
/// removes the limit.
ScenarioRun::Outcome ScenarioRun::runDisk(const Command& command) {
  const std::string state = textOption(command, "state", "");
  if (state != "full" && state != "works") {
    return Error{"state: expected full or works"};
  }
  return forEachTarget(command, [this, &state](const std::string& name) -> Outcome {
    Process* process = fleet_->find(name);
    if (state == "works") {
      return process->unlimitFileSize();
    }
    std::error_code failure;
    const auto size = std::filesystem::file_size(fleet_->dataFolder(name) + "/raft.log", failure);
    if (failure) {
      return Error{"cannot read the size of its log: " + failure.message()};
    }
    return process->limitFileSize(size);
  });
}

/// Changes a byte in the middle of the log of a stopped replica.
ScenarioRun::Outcome ScenarioRun::runDamage(const Command& command) {
  return forEachTarget(command, [this](const std::string& name) -> Outcome {
    const std::string path = fleet_->dataFolder(name) + "/raft.log";
    std::error_code failure;
    const auto size = std::filesystem::file_size(path, failure);
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    if (failure || !file || size < 200) {
      return Error{path + " cannot be opened or is too short to be damaged in the middle"};
    }
    const auto middle = static_cast<std::streamoff>(size / 2);
    file.seekg(middle);
    const int byte = file.get();
    file.seekp(middle);
    file.put(static_cast<char>(byte ^ 0x5A));
    return kDone;
  });
}

ScenarioRun::Outcome ScenarioRun::runCut(const Command& command) {
  if (command.arguments.size() != 2) {
    return Error{"expected two daemons, or one and \"others\""};
  }
  const auto from = resolveName(command.arguments[0]);
  if (isError(from)) {
    return errorOf(from);
  }
  const std::string& name = std::get<std::string>(from);
  const std::string way = textOption(command, "way", "both");
  if (way != "both" && way != "out" && way != "in") {
    return Error{"way: expected both, out or in"};
  }
  for (const std::string& other : fleet_->names()) {
    const bool meant = command.arguments[1] == "others" || command.arguments[1] == other;
    if (!other.starts_with("entry-") || other == name || !meant) {
      continue;
    }
    if (way != "in") {
      fleet_->setLinkCut(name, other, true);
    }
    if (way != "out") {
      fleet_->setLinkCut(other, name, true);
    }
  }
  unavailable_.insert(name);
  return kDone;
}

ScenarioRun::Outcome ScenarioRun::runHeal(const Command& /*command*/) {
  fleet_->healAllLinks();
  for (auto entry = unavailable_.begin(); entry != unavailable_.end();) {
    entry = fleet_->find(*entry)->running() ? unavailable_.erase(entry) : std::next(entry);
  }
  return kDone;
}

ScenarioRun::Outcome ScenarioRun::runFault(const Command& command) {
  if (command.arguments.size() != 1 || command.options.empty()) {
    return Error{"expected a runner and name=value"};
  }
  json members = json::object();
  for (const auto& [name, value] : command.options) {
    members[name] = json::parse(value);
  }
  const auto response = http::blockingCall(fleet_->runnerAddress(command.arguments[0]),
                                           http::Verb::post, "/fault", members.dump(), {});
  if (isError(response)) {
    return errorOf(response);
  }
  return kDone;
}

ScenarioRun::Outcome ScenarioRun::runPlatform(const Command& command) {
  if (command.arguments.size() != 1) {
    return Error{"expected a runner or \"lag\""};
  }
  if (command.arguments[0] == "lag") {
    const std::string body = "{\"lag_ms\":" + std::to_string(numberOption(command, "ms", 0)) + "}";
    const auto response =
        http::blockingCall(fleet_->platformAddress(), http::Verb::put, "/lag", body, {});
    return isError(response) ? Outcome(errorOf(response)) : Outcome(kDone);
  }
  const std::string state = textOption(command, "state", "leaving");
  if (cap_sampler_) {
    cap_sampler_->setLeaving(fleet_->runnerAddress(command.arguments[0]), state != "live");
  }
  const auto verb = state == "gone" ? http::Verb::delete_ : http::Verb::put;
  const auto response =
      http::blockingCall(fleet_->platformAddress(), verb, "/v1/machines/" + command.arguments[0],
                         json({{"state", state}}).dump(), {});
  return isError(response) ? Outcome(errorOf(response)) : Outcome(kDone);
}

} // namespace workshatch::scenario

#include "core/relay/runner_paths.h"

#include <algorithm>
#include <random>

namespace workshatch::relay {

namespace {

/// Runners probed in a round. Together with the runner whose failure caused the round these are as
/// many as must fail for the path to be lost.
constexpr size_t kProbesPerRound = 2;
constexpr size_t kFailuresForLoss = 3;
/// Minimum interval between two rounds of a service.
constexpr int64_t kRoundIntervalMs = 400;
/// Random addition to the interval while a path is lost, so that relays that lost it together do
/// not probe together.
constexpr uint64_t kRoundJitterMs = 200;
/// Minimum interval between two rounds that only silence asks for: a service whose requests take
/// long is silent often.
constexpr int64_t kSilenceRoundIntervalMs = 1500;

} // namespace

void RunnerPaths::confirmFailures(const std::string& name) {
  explainRefusals(name);
  services_[name].failed.clear();
}

void RunnerPaths::recordConnected(const Runner& runner, int64_t now_ms) {
  Service& service = services_[runner.entry.service()];
  service.connected_ms = now_ms;
  service.connected_runner = runner.fingerprint;
  service.failed.erase(runner.fingerprint);
  service.refused.erase(runner.fingerprint);
  if (!service.lost_ms) {
    confirmFailures(runner.entry.service());
  }
}

void RunnerPaths::recordConnectFailed(const Runner& runner, bool refused, int64_t began_ms) {
  Service& service = services_[runner.entry.service()];
  const bool path_shown = service.connected_ms > began_ms && !service.lost_ms &&
                          service.connected_runner != runner.fingerprint;
  if (path_shown) {
    if (refused) {
      ended_.push_back(runner.fingerprint);
    }
    return;
  }
  service.failed.insert(runner.fingerprint);
  if (refused) {
    service.refused.insert(runner.fingerprint);
  }
}

void RunnerPaths::recordSilence(const std::string& service) { services_[service].silent = true; }

bool RunnerPaths::isLost(const std::string& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.lost_ms.has_value();
}

int64_t RunnerPaths::lostForMs(const std::string& service, int64_t now_ms) const {
  const auto found = services_.find(service);
  const bool lost = found != services_.end() && found->second.lost_ms;
  return lost ? std::max<int64_t>(now_ms - *found->second.lost_ms, 1) : 0;
}

std::vector<std::string> RunnerPaths::lostServices() const {
  std::vector<std::string> lost;
  for (const auto& [name, service] : services_) {
    if (service.lost_ms) {
      lost.push_back(name);
    }
  }
  return lost;
}

std::vector<std::string> RunnerPaths::dueRounds(int64_t now_ms) const {
  std::vector<std::string> due;
  for (const auto& [name, service] : services_) {
    const bool silence_counts = service.silent && now_ms >= service.next_silence_round_ms;
    const bool wanted = service.lost_ms || !service.failed.empty() || silence_counts;
    if (wanted && !service.round_in_progress && now_ms >= service.next_round_ms) {
      due.push_back(name);
    }
  }
  return due;
}

/// @return the candidates that were heard last, first.
RunnerPaths::Runners RunnerPaths::heardLast(Runners candidates) {
  std::stable_sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
    return left->last_heard_ms > right->last_heard_ms;
  });
  return candidates;
}

RunnerPaths::Runners RunnerPaths::beginRound(const std::string& name, const Runners& runners,
                                             uint64_t draw, int64_t now_ms) {
  Service& service = services_[name];
  Runners candidates;
  std::copy_if(runners.begin(), runners.end(), std::back_inserter(candidates),
               [](const auto& runner) { return !runner->gone && !runner->isLeaving(); });
  service.runners = candidates.size();
  std::shuffle(candidates.begin(), candidates.end(),
               std::minstd_rand(static_cast<std::minstd_rand::result_type>(draw)));
  if (!service.lost_ms) {
    std::erase_if(candidates, [&service](const auto& runner) {
      return service.failed.contains(runner->fingerprint);
    });
    candidates = heardLast(std::move(candidates));
  }
  candidates.resize(std::min(candidates.size(), kProbesPerRound));
  service.silent = false;
  service.round_in_progress = true;
  service.next_round_ms = now_ms + kRoundIntervalMs +
                          (service.lost_ms ? static_cast<int64_t>(draw % kRoundJitterMs) : 0);
  service.next_silence_round_ms = now_ms + kSilenceRoundIntervalMs;
  return candidates;
}

RunnerPaths::Change RunnerPaths::endRound(const std::string& name, bool reached, int64_t now_ms) {
  Service& service = services_[name];
  service.round_in_progress = false;
  if (reached && service.lost_ms) {
    // The failures while the path was lost say nothing about the runners.
    service.failed.clear();
    service.refused.clear();
    service.lost_ms.reset();
    return Change::Restored;
  }
  const size_t needed = std::min(service.runners, kFailuresForLoss);
  if (reached || service.lost_ms || service.runners == 0 || service.failed.size() < needed) {
    return Change::None;
  }
  service.lost_ms = now_ms;
  return Change::Lost;
}

bool RunnerPaths::hasUnexplainedRefusals(const std::string& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && !found->second.refused.empty();
}

void RunnerPaths::explainRefusals(const std::string& name) {
  Service& service = services_[name];
  ended_.insert(ended_.end(), service.refused.begin(), service.refused.end());
  service.refused.clear();
}

std::vector<uint64_t> RunnerPaths::takeEnded() { return std::exchange(ended_, {}); }

} // namespace workshatch::relay

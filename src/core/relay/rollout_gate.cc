#include "core/relay/rollout_gate.h"

#include <algorithm>

namespace workshatch::relay {

namespace {

bool isFormer(const v1::Rollout& rollout, const std::string& version) {
  const auto& former = rollout.former_versions();
  return std::find(former.begin(), former.end(), version) != former.end();
}

/// @return a number in the range [0, 1).
double fractionOf(uint64_t draw) {
  constexpr uint64_t kParts = uint64_t{1} << 20U;
  return static_cast<double>(draw % kParts) / static_cast<double>(kParts);
}

} // namespace

bool admitsVersion(const v1::Rollout& rollout, const std::string& version, bool trial) {
  const bool target = version == rollout.target_version();
  switch (rollout.phase()) {
  case v1::ROLLOUT_CANARY:
    // Without runners of a former version there is nothing to move away from.
    return rollout.former_versions().empty() || target == trial;
  case v1::ROLLOUT_PROMOTING:
  case v1::ROLLOUT_SUCCEEDED:
    // The rollout does not restrict versions that were added later.
    return target || !isFormer(rollout, version);
  case v1::ROLLOUT_ROLLED_BACK:
    return !target;
  default:
    return true;
  }
}

bool admitsRequest(const v1::Rollout* rollout, const std::string& version, bool trial,
                   bool resumes) {
  return rollout == nullptr || (resumes && isInProgress(*rollout)) ||
         admitsVersion(*rollout, version, trial);
}

void RolloutGate::setRollouts(const v1::RolloutList& rollouts, uint64_t draw) {
  rollouts_ = rollouts;
  std::map<std::string, TrialCredit> credit;
  for (const v1::Rollout& rollout : rollouts_.rollouts()) {
    if (rollout.phase() != v1::ROLLOUT_CANARY) {
      continue;
    }
    const auto existing = credits_.find(rollout.service());
    const bool same = existing != credits_.end() && existing->second.rollout == rollout.id();
    credit[rollout.service()] =
        same ? existing->second : TrialCredit{.rollout = rollout.id(), .trials = fractionOf(draw)};
  }
  credits_ = std::move(credit);
}

RolloutGate::TrialCredit* RolloutGate::creditFor(const std::string& service) {
  const auto found = credits_.find(service);
  return found == credits_.end() ? nullptr : &found->second;
}

bool RolloutGate::takeTrial(const std::string& service) {
  TrialCredit* credit = creditFor(service);
  if (credit == nullptr || credit->trials < 1) {
    return false;
  }
  credit->trials -= 1;
  return true;
}

void RolloutGate::returnTrial(const std::string& service) {
  if (TrialCredit* credit = creditFor(service)) {
    credit->trials += 1;
  }
}

void RolloutGate::recordSent(const std::string& service) {
  if (TrialCredit* credit = creditFor(service)) {
    credit->trials += share_;
  }
}

} // namespace workshatch::relay

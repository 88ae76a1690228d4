/// @file
/// Which versions of a service's runners a relay sends requests to while a rollout is under way,
/// and after it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/relay/group_state.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Keeps what all relays together send to a version that is not judged yet under a share of the
/// service's requests.
///
/// Each relay earns a part of a trial with each request that it sends, and takes a whole one for
/// each request that goes to the target version. So the share holds by itself: while the leader is
/// away, while lists of relays differ, and after a relay's restart, which begins with nothing
/// earned. A relay begins a rollout with a part drawn by lot, since in a large fleet each sends
/// only a few requests in the time of a rollout: without it most would never earn a whole trial.
///
/// Not safe for concurrent use.
class RolloutGate {
public:
  /// @param share of a service's requests that a version on trial may get
  explicit RolloutGate(double share) : share_(share) {}

  /// Replaces the rollouts. @param draw random number, for what is earned at the beginning of one
  void setRollouts(const v1::RolloutList& rollouts, uint64_t draw);
  const v1::RolloutList& rollouts() const { return rollouts_; }

  /// @return the last rollout of the service; null: it had none.
  const v1::Rollout* findRollout(const std::string& service) const {
    return relay::findRollout(rollouts_, service);
  }

  /// Takes a trial for a request of the service. @return false when none is earned.
  bool takeTrial(const std::string& service);
  /// Gives back a trial that was not sent.
  void returnTrial(const std::string& service);
  /// Notes that a request of the service was sent to a runner for the first time.
  void recordSent(const std::string& service);

private:
  struct TrialCredit {
    /// Index of the rollout's order in the replicated log.
    uint64_t rollout = 0;
    double trials = 0;
  };

  TrialCredit* creditFor(const std::string& service);

  const double share_;
  v1::RolloutList rollouts_;
  /// By service, of rollouts on trial.
  std::map<std::string, TrialCredit> credits_;
};

/// @return whether the rollout lets a request go to a runner of this version.
/// @param trial the request is one of those that the target version gets on trial
bool admitsVersion(const v1::Rollout& rollout, const std::string& version, bool trial);

} // namespace workshatch::relay

/// @file
/// Decides to which versions of a service's runners a relay sends requests during a rollout and
/// after it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/relay/group_state.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Limits the requests that all relays together send to a version on trial to a share of the
/// service's requests.
///
/// Each request that a relay sends earns it a fraction of a trial, and each request that it sends
/// to the target version consumes a whole one. No coordination is needed to keep the share: it also
/// holds while there is no leader, while the lists of relays differ, and after the restart of a
/// relay, which starts without earned trials. A relay starts a rollout with a random fraction of a
/// trial, because in a large fleet each relay sends only a few requests during a rollout, and most
/// relays would never earn a whole trial.
///
/// Not safe for concurrent use.
class RolloutGate {
public:
  /// @param share fraction of a service's requests that a version on trial may get
  explicit RolloutGate(double share) : share_(share) {}

  /// Replaces the rollouts.
  /// @param draw random number that sets the fraction of a trial at the start of a rollout
  void setRollouts(const v1::RolloutList& rollouts, uint64_t draw);
  const v1::RolloutList& rollouts() const { return rollouts_; }

  /// @return the latest rollout of the service; null: there was none.
  const v1::Rollout* findRollout(const std::string& service) const {
    return relay::findRollout(rollouts_, service);
  }

  /// Consumes a trial for a request of the service.
  /// @return whether a trial was available.
  bool takeTrial(const std::string& service);
  /// Returns a trial whose request was not sent.
  void returnTrial(const std::string& service);
  /// Records that a request of the service was sent to a runner for the first time.
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
  /// By service, for rollouts whose target version is on trial.
  std::map<std::string, TrialCredit> credits_;
};

/// @return whether the rollout allows a request to go to a runner of this version.
/// @param trial the request is one of those that the target version gets on trial
bool admitsVersion(const v1::Rollout& rollout, const std::string& version, bool trial);

/// As `admitsVersion`, also for a stream that is resumed: one that began before or during a rollout
/// ends at its version, as long as the rollout is in progress.
/// @param rollout null: the service has none
/// @param resumes the request resumes a stream that a runner of this version began
bool admitsRequest(const v1::Rollout* rollout, const std::string& version, bool trial,
                   bool resumes);

} // namespace workshatch::relay

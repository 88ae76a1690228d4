/// @file
/// Decides when resumable streams may begin at a further software version of a service, and when a
/// version is forgotten that is not listed any more.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/relay/served_versions.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// What the leader knows besides the lists.
struct AdmissionConditions {
  /// Each relay whose lease holds has the newest list of served versions.
  bool all_relays_know = false;
  /// Longest time from the beginning of an attempt until its stream cannot be resumed any more,
  /// milliseconds; empty: not known, so that no version is retired.
  std::optional<int64_t> stream_lifetime_ms;
};

/// The leader's part of the protocol by which the group remembers the versions of each service.
///
/// A listed version is *announced* in the replicated list of versions; it *serves*, so that
/// resumable streams may begin at it, once every relay whose lease holds knows of it; it is
/// *stopped* when it is not listed any more; and it is *retired* once every relay has known for the
/// lifetime of a stream that it is stopped.
///
/// Load pattern: each reading of the platform's list, about once a second; a service's versions
/// change a few times a day.
///
/// Guarantee: if a relay whose lease holds knows of one version of a service only, then every
/// stream of the service that may still be resumed began at this version. It holds over any
/// restarts, since the list of versions is replicated and nothing is concluded from what a process
/// has not seen: a new leader begins all waiting times anew, and an order whose outcome is unknown
/// applies only to the state for which it was made. It needs runners' versions to be listed
/// rightly, and callers to resume a stream within `stream_lifetime_ms`.
///
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class VersionAdmission {
public:
  /// @param lease_ms length of a relay's lease, from the sending of the renewal
  explicit VersionAdmission(int64_t lease_ms) : lease_ms_(lease_ms) {}

  /// Begins a leadership.
  void beginTerm();

  /// Records a list that was read from the platform. The target versions of rollouts in progress
  /// count as listed, so that their runners need not wait.
  void recordList(const v1::RunnerList& runners, const v1::RolloutList& rollouts,
                  const v1::ServedVersionList& served, int64_t now_ms);

  /// @return whether a version is stopped, so that `dueOrders` needs the lifetime of streams.
  static bool hasStoppedVersions(const v1::ServedVersionList& served);
  /// @return whether a change of the list waits for the relays to know of it.
  static bool awaitsRelays(const v1::ServedVersionList& served);

  /// @return the orders that are due. To be proposed in one command, and not to be called again
  /// until it is stored or has failed.
  std::vector<v1::VersionOrder> dueOrders(const v1::ServedVersionList& served,
                                          const AdmissionConditions& conditions, int64_t now_ms);

private:
  /// Service and version.
  using Key = std::pair<std::string, std::string>;

  /// What this leader has seen of a version that is announced or stopped.
  struct Waiting {
    v1::VersionState state = v1::VERSION_STATE_UNKNOWN;
    /// When this leader first saw the version in this state.
    int64_t since_ms = 0;
    /// When each relay whose lease holds was first known to know of it.
    std::optional<int64_t> known_since_ms;
  };

  bool isListed(const Key& key) const;
  void addAnnouncements(const v1::ServedVersionList& served, std::vector<v1::VersionOrder>& orders);
  void updateWaiting(const v1::ServedVersionList& served, bool all_relays_know, int64_t now_ms);
  v1::VersionStep dueStep(const Key& key, v1::VersionState state, uint64_t others_serving,
                          const AdmissionConditions& conditions, int64_t now_ms) const;

  const int64_t lease_ms_;
  /// Versions by service, of the newest list that was read in this leadership.
  std::map<std::string, std::set<std::string>> listed_;
  bool list_read_ = false;
  /// When a list was first read that lacks the version, if all later ones lack it too.
  std::map<Key, int64_t> unlisted_since_ms_;
  /// Versions that do not serve.
  std::map<Key, Waiting> waiting_;
};

} // namespace workshatch::relay

/// @file
/// When each voter was last heard by this process, whoever led meanwhile.
///
/// A leader counts the silence of a voter from its own election, so that a voter that is gone would
/// keep its vote as long as leaders change. While a learner could take that vote, all voters tell
/// each other that they are there, and a new leader knows for how long it has not heard a voter.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace workshatch::daemon {

/// The silence of each voter counts from when it was last heard, became a voter, or this process
/// began to listen. It counts anew for all voters once this process may itself be the cause: after
/// a pause of its own, or while it hears no majority. Bounded by the number of voters. Times are
/// monotonic, in ms. Not safe for concurrent use.
class VoterPresence {
public:
  /// Listens to these voters from now on, and forgets all others. Must be called at least every
  /// `kMaxPauseMs`, or it counts as a pause of this process.
  /// @param voters identities of the other voters of the group
  void listen(const std::set<uint64_t>& voters, int64_t now_ms);
  static constexpr int64_t kMaxPauseMs = 500;
  /// Forgets all that was heard: nothing is told any more.
  void stop();
  /// Records a message of a voter; one of any other process is ignored.
  void heard(uint64_t voter, int64_t now_ms);
  /// @return time for which the voter has been silent; zero for a process that is not listened to.
  int64_t silentForMs(uint64_t voter, int64_t now_ms) const;

private:
  bool hearsMajority(int64_t now_ms) const;
  void countAnew(int64_t now_ms);

  /// When this process last listened; negative: it does not.
  int64_t listened_ms_ = -1;
  std::map<uint64_t, int64_t> last_heard_ms_;
};

} // namespace workshatch::daemon

/// @file
/// When each voter was last heard by this process, whoever led meanwhile.
///
/// A leader counts the silence of a voter from its own election, so that a voter that is gone would
/// keep its vote as long as leaders change. While a learner could take that vote, all voters tell
/// each other that they are there, and a new leader knows for how long it has not heard a voter.
#pragma once

#include <cstdint>
#include <map>

namespace workshatch::daemon {

/// Times are monotonic, in ms. Not safe for concurrent use.
class VoterPresence {
public:
  /// Listens from now on, unless it does already.
  void listen(int64_t now_ms);
  /// Forgets all that was heard: nothing is told any more.
  void stop();
  void heard(uint64_t voter, int64_t now_ms);
  /// @return time since the voter was last heard, or since this process began to listen; zero while
  /// it does not listen.
  int64_t silentForMs(uint64_t voter, int64_t now_ms) const;

private:
  bool listening_ = false;
  int64_t listening_since_ms_ = 0;
  std::map<uint64_t, int64_t> last_heard_ms_;
};

} // namespace workshatch::daemon

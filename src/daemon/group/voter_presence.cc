#include "daemon/group/voter_presence.h"

#include <utility>

namespace workshatch::daemon {

void VoterPresence::listen(int64_t now_ms) {
  if (!std::exchange(listening_, true)) {
    listening_since_ms_ = now_ms;
  }
}

void VoterPresence::stop() {
  listening_ = false;
  last_heard_ms_.clear();
}

void VoterPresence::heard(uint64_t voter, int64_t now_ms) {
  if (listening_) {
    last_heard_ms_[voter] = now_ms;
  }
}

int64_t VoterPresence::silentForMs(uint64_t voter, int64_t now_ms) const {
  if (!listening_) {
    return 0;
  }
  const auto heard = last_heard_ms_.find(voter);
  return now_ms - (heard == last_heard_ms_.end() ? listening_since_ms_ : heard->second);
}

} // namespace workshatch::daemon

#include "core/admission/moved_sessions.h"

namespace workshatch::admission {

void MovedSessions::setLimits(size_t entries, int64_t retention_ms) {
  max_entries_ = entries;
  retention_ms_ = retention_ms;
}

void MovedSessions::record(uint64_t session, const std::string& engine, int64_t now_ms) {
  sessions_[session] = Moved{.engine = engine, .at_ms = now_ms};
  ages_.push_back(Age{.session = session, .at_ms = now_ms});
  evict(now_ms);
}

void MovedSessions::remove(uint64_t session) { sessions_.erase(session); }

std::optional<std::string> MovedSessions::find(uint64_t session, int64_t now_ms) const {
  const auto found = sessions_.find(session);
  if (found == sessions_.end() || now_ms - found->second.at_ms > retention_ms_) {
    return std::nullopt;
  }
  return found->second.engine;
}

void MovedSessions::evict(int64_t now_ms) {
  while (!ages_.empty()) {
    const Age& oldest = ages_.front();
    const auto found = sessions_.find(oldest.session);
    const bool current = found != sessions_.end() && found->second.at_ms == oldest.at_ms;
    const bool expired = now_ms - oldest.at_ms > retention_ms_;
    if (current && !expired && sessions_.size() <= max_entries_) {
      // A session that is recorded often leaves outdated ages behind. They expire as well, so their
      // number is bounded.
      return;
    }
    if (current) {
      sessions_.erase(found);
    }
    ages_.pop_front();
  }
}

} // namespace workshatch::admission

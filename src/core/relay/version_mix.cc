#include "core/relay/version_mix.h"

namespace workshatch::relay {

void VersionMix::add(const std::string& version, int64_t now_ms) {
  ++runners_[version];
  if (isMixed()) {
    mixed_until_ms_ = now_ms;
  }
}

void VersionMix::remove(const std::string& version, int64_t now_ms) {
  if (isMixed()) {
    mixed_until_ms_ = now_ms;
  }
  const auto found = runners_.find(version);
  if (found != runners_.end() && --found->second == 0) {
    runners_.erase(found);
  }
}

void VersionMix::clear(int64_t now_ms) {
  if (isMixed()) {
    mixed_until_ms_ = now_ms;
  }
  runners_.clear();
}

std::optional<std::string> VersionMix::soleVersion() const {
  return runners_.size() == 1 ? std::optional(runners_.begin()->first) : std::nullopt;
}

} // namespace workshatch::relay

#include "core/relay/relay_acknowledgements.h"

#include <algorithm>

namespace workshatch::relay {

void RelayAcknowledgements::clear() {
  versions_.clear();
  removed_ms_.clear();
}

void RelayAcknowledgements::record(const std::string& relay, uint64_t version) {
  versions_[relay] = version;
  removed_ms_.erase(relay);
}

void RelayAcknowledgements::remove(const std::string& relay, int64_t now_ms) {
  if (versions_.erase(relay) != 0) {
    removed_ms_[relay] = now_ms;
  }
}

bool RelayAcknowledgements::allHave(uint64_t version, int64_t now_ms) {
  std::erase_if(removed_ms_, [&](const auto& entry) { return now_ms - entry.second >= lease_ms_; });
  return removed_ms_.empty() &&
         std::all_of(versions_.begin(), versions_.end(),
                     [version](const auto& entry) { return entry.second >= version; });
}

} // namespace workshatch::relay

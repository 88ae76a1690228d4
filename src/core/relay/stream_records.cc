#include "core/relay/stream_records.h"

namespace workshatch::relay {

bool StreamRecords::store(const StreamId& stream, const StreamOrigin& origin, int64_t expires_ms) {
  if (records_.size() >= kMaxRecords && !records_.contains(stream)) {
    return false;
  }
  const auto [shared, added] =
      origins_.try_emplace(std::pair(origin.service, origin.version), origin);
  records_[stream] = Record{.origin = &shared->second, .expires_ms = expires_ms};
  return true;
}

const StreamOrigin* StreamRecords::find(const StreamId& stream, int64_t now_ms) const {
  const auto found = records_.find(stream);
  const bool valid = found != records_.end() && now_ms < found->second.expires_ms;
  return valid ? found->second.origin : nullptr;
}

void StreamRecords::dropExpired(int64_t now_ms) {
  std::erase_if(records_,
                [now_ms](const auto& entry) { return now_ms >= entry.second.expires_ms; });
}

} // namespace workshatch::relay

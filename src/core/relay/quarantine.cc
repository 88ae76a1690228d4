#include "core/relay/quarantine.h"

#include <algorithm>

namespace workshatch::relay {

bool Quarantine::setList(const v1::QuarantineList& list) {
  if (list.version() <= version_) {
    return false;
  }
  version_ = list.version();
  since_ms_.clear();
  for (const v1::QuarantinedRequest& entry : list.requests()) {
    since_ms_[identityOf(entry.request())] = entry.since_ms();
  }
  return true;
}

const uint64_t* Quarantine::findEntry(const RequestIdentity& entry) const {
  const auto found = since_ms_.find(entry);
  return found == since_ms_.end() ? nullptr : &found->second;
}

const uint64_t* Quarantine::sinceMs(const RequestIdentity& request,
                                    const std::vector<uint64_t>& parts) const {
  const uint64_t* since_ms = findEntry(request);
  for (size_t i = 0; since_ms == nullptr && i < parts.size(); ++i) {
    since_ms = findEntry(identityOfPart(parts[i]));
  }
  return since_ms;
}

size_t Quarantine::partCount() const {
  return static_cast<size_t>(std::count_if(since_ms_.begin(), since_ms_.end(),
                                           [](const auto& entry) { return isPart(entry.first); }));
}

} // namespace workshatch::relay

#include "core/relay/quarantine.h"

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

const uint64_t* Quarantine::sinceMs(const RequestIdentity& request) const {
  const auto found = since_ms_.find(request);
  return found == since_ms_.end() ? nullptr : &found->second;
}

} // namespace workshatch::relay

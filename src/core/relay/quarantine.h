/// @file
/// A relay's copy of the list of requests in quarantine.
#pragma once

#include <cstdint>
#include <map>

#include "core/relay/request_identity.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Requests that are not sent to any runner because they crashed the runners that ran them. Not
/// safe for concurrent use.
class Quarantine {
public:
  /// Replaces the list, unless it is older than the present one.
  /// @return whether the list was replaced.
  bool setList(const v1::QuarantineList& list);

  /// @return when the request was put into quarantine, wall time in milliseconds; null: it is not
  /// in quarantine.
  const uint64_t* sinceMs(const RequestIdentity& request) const;
  bool contains(const RequestIdentity& request) const { return sinceMs(request) != nullptr; }

  uint64_t version() const { return version_; }
  const std::map<RequestIdentity, uint64_t>& requests() const { return since_ms_; }

private:
  uint64_t version_ = 0;
  std::map<RequestIdentity, uint64_t> since_ms_;
};

} // namespace workshatch::relay

/// @file
/// A relay's copy of the list of requests in quarantine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/relay/request_identity.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Requests that are not sent to any runner because they crashed the runners that ran them: single
/// requests, and all requests with certain parts in their prompts. Not safe for concurrent use.
class Quarantine {
public:
  /// Replaces the list, unless it is older than the present one.
  /// @return whether the list was replaced.
  bool setList(const v1::QuarantineList& list);

  /// @param parts fingerprints of the shared parts of the prompt
  /// @return when the request or one of its parts was put into quarantine, wall time in
  /// milliseconds; null: neither is in quarantine.
  const uint64_t* sinceMs(const RequestIdentity& request, const std::vector<uint64_t>& parts) const;
  bool contains(const RequestIdentity& request, const std::vector<uint64_t>& parts) const {
    return sinceMs(request, parts) != nullptr;
  }

  uint64_t version() const { return version_; }
  /// All entries, those for parts (`identityOfPart`) included.
  const std::map<RequestIdentity, uint64_t>& requests() const { return since_ms_; }
  /// Number of parts in quarantine.
  size_t partCount() const;

private:
  const uint64_t* findEntry(const RequestIdentity& entry) const;

  uint64_t version_ = 0;
  std::map<RequestIdentity, uint64_t> since_ms_;
};

} // namespace workshatch::relay

/// @file
/// Identity of an event stream over all attempts of its caller, and what began it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace workshatch::relay {

/// Identifies a stream by the attempt that brought its first event. Callers choose request ids, so
/// the tenant is a number of its own: no tenant can change what is known of another one's stream.
struct StreamId {
  /// Fingerprint of the tenant's name, the same for all streams without a tenant.
  uint64_t caller = 0;
  /// Fingerprint of the request id of the attempt.
  uint64_t request = 0;

  bool operator==(const StreamId& other) const {
    return caller == other.caller && request == other.request;
  }
};

/// @param tenant empty: the request needs no key
/// @param request_id id of the attempt that brought the first event
StreamId streamIdOf(std::string_view tenant, std::string_view request_id);

/// The runners at which a stream may go on: those of one service and software version.
struct StreamOrigin {
  std::string service;
  std::string version;
};

} // namespace workshatch::relay

template <> struct std::hash<workshatch::relay::StreamId> {
  size_t operator()(const workshatch::relay::StreamId& id) const noexcept {
    return static_cast<size_t>(id.caller ^ id.request);
  }
};

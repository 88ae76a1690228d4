/// @file
/// Identity of a request that is the same for all its attempts, at any relay and under any request
/// id.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Identifies a request by its content, not by its id, which differs from attempt to attempt.
///
/// The caller is a number of its own beside the content, so that no tenant can craft a request that
/// passes for another tenant's: the hash function is not collision-resistant.
struct RequestIdentity {
  /// Fingerprint of the tenant's name, the same for all requests without a tenant.
  uint64_t caller = 0;
  /// Fingerprint of method, target and body.
  uint64_t content = 0;

  bool operator==(const RequestIdentity& other) const {
    return caller == other.caller && content == other.content;
  }
  bool operator<(const RequestIdentity& other) const {
    return caller != other.caller ? caller < other.caller : content < other.content;
  }
};

/// @param tenant empty: the request needs no key
/// @return the identity that stands for all requests with this shared part in their prompts. It
/// differs from that of every request, whose caller is never zero.
inline RequestIdentity identityOfPart(uint64_t part) {
  return RequestIdentity{.caller = 0, .content = part};
}
inline bool isPart(const RequestIdentity& identity) { return identity.caller == 0; }

/// @param target path and query
RequestIdentity identityOf(std::string_view tenant, std::string_view method,
                           std::string_view target, std::string_view body);

v1::RequestIdentity messageOf(const RequestIdentity& identity);
RequestIdentity identityOf(const v1::RequestIdentity& message);

/// @return the identity as written to logs: caller and content, each as 16 hexadecimal digits.
std::string textOf(const RequestIdentity& identity);
/// @return the fingerprint of a part of a prompt as written to logs: 16 hexadecimal digits.
std::string textOfPart(uint64_t part);

} // namespace workshatch::relay
